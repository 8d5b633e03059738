package org.chicorylane.internal.declaration;

import java.util.ArrayList;
import java.util.List;
import org.chicorylane.internal.finding.Finding;

/** Collects the findings of one document. Not thread-safe. */
final class FindingCollector {
  private final String source;
  private final List<Finding> findings = new ArrayList<>();

  FindingCollector(String source) {
    this.source = source;
  }

  void add(String path, String message) {
    findings.add(new Finding(source, path, message));
  }

  boolean isEmpty() {
    return findings.isEmpty();
  }

  List<Finding> findings() {
    return List.copyOf(findings);
  }
}

package org.chicorylane.internal.declaration;

import java.util.List;
import org.chicorylane.internal.finding.Finding;

/**
 * The valid declarations of a set of documents, and the faults of the documents that were left out.
 *
 * @param declarations the valid declarations
 * @param findings all faults; empty if every document is valid and consistent with the others
 */
public record LenientAssembly(Declarations declarations, List<Finding> findings) {

  /** Copies the findings. */
  public LenientAssembly {
    findings = List.copyOf(findings);
  }
}

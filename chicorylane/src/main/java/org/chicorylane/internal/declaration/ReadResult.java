package org.chicorylane.internal.declaration;

import java.util.List;
import org.chicorylane.internal.finding.Finding;

/** What became of reading one document. Immutable and thread-safe. */
public sealed interface ReadResult {

  /** The document is a resource. */
  record Valid(Resource resource) implements ReadResult {}

  /**
   * The document is no resource.
   *
   * @param findings everything wrong with it, at least one
   */
  record Invalid(List<Finding> findings) implements ReadResult {
    /** Copies the findings. */
    public Invalid {
      findings = List.copyOf(findings);
    }
  }
}

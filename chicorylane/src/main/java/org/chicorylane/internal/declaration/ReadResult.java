package org.chicorylane.internal.declaration;

import java.util.List;
import org.chicorylane.internal.finding.Finding;

/** The result of reading one document. Immutable and thread-safe. */
public sealed interface ReadResult {

  /** The document is a valid resource. */
  record Valid(Resource resource) implements ReadResult {}

  /**
   * The document is not a valid resource.
   *
   * @param findings all faults of the document, at least one
   */
  record Invalid(List<Finding> findings) implements ReadResult {
    /** Copies the findings. */
    public Invalid {
      findings = List.copyOf(findings);
    }
  }
}

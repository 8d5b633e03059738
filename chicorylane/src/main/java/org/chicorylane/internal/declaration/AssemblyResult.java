package org.chicorylane.internal.declaration;

import java.util.List;
import org.chicorylane.internal.finding.Finding;

/** What became of putting documents together. Immutable and thread-safe. */
public sealed interface AssemblyResult {

  /** Every document is valid and they fit together. */
  record Valid(Declarations declarations) implements AssemblyResult {}

  /**
   * Something is wrong.
   *
   * @param findings everything wrong, at least one
   */
  record Invalid(List<Finding> findings) implements AssemblyResult {
    /** Copies the findings. */
    public Invalid {
      findings = List.copyOf(findings);
    }
  }
}

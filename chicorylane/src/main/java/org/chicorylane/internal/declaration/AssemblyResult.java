package org.chicorylane.internal.declaration;

import java.util.List;
import org.chicorylane.internal.finding.Finding;

/** The result of assembling documents into declarations. Immutable and thread-safe. */
public sealed interface AssemblyResult {

  /** Every document is valid and consistent with the others. */
  record Valid(Declarations declarations) implements AssemblyResult {}

  /**
   * At least one document is invalid or inconsistent with the others.
   *
   * @param findings all faults, at least one
   */
  record Invalid(List<Finding> findings) implements AssemblyResult {
    /** Copies the findings. */
    public Invalid {
      findings = List.copyOf(findings);
    }
  }
}

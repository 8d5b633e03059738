package org.chicorylane.internal.declaration;

import java.util.List;
import org.chicorylane.internal.finding.Finding;

/**
 * The declarations that remain after bad documents were left out.
 *
 * @param declarations what is valid
 * @param findings everything wrong; empty if nothing was left out
 */
public record LenientAssembly(Declarations declarations, List<Finding> findings) {

  /** Copies the findings. */
  public LenientAssembly {
    findings = List.copyOf(findings);
  }
}

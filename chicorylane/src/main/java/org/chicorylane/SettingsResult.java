package org.chicorylane;

import java.util.List;
import org.chicorylane.internal.finding.Finding;

/** The result of reading a settings document. */
public sealed interface SettingsResult {

  /** The document is valid. */
  record Valid(Settings settings) implements SettingsResult {}

  /**
   * The document is invalid.
   *
   * @param findings all faults of the document, at least one
   */
  record Invalid(List<Finding> findings) implements SettingsResult {

    /** Copies the findings. */
    public Invalid {
      findings = List.copyOf(findings);
    }
  }
}

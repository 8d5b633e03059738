package org.chicorylane;

import java.util.List;
import org.chicorylane.internal.finding.Finding;

/** What reading a settings document came to. */
public sealed interface SettingsResult {

  /** The document is right. */
  record Valid(Settings settings) implements SettingsResult {}

  /**
   * The document is wrong.
   *
   * @param findings everything that is wrong with it; at least one
   */
  record Invalid(List<Finding> findings) implements SettingsResult {

    /** Copies the findings. */
    public Invalid {
      findings = List.copyOf(findings);
    }
  }
}

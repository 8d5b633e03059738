package org.chicorylane.internal.operator;

import java.util.List;
import org.chicorylane.internal.finding.Finding;

/** The result of a change set. Immutable. */
sealed interface ChangeResult {

  /**
   * The change was applied; in a dry run, it would have been.
   *
   * @param revision the revision that contains it; the current one if nothing needed to be written
   */
  record Applied(long revision, List<ResourceOutcome> outcomes) implements ChangeResult {}

  /** Nothing was changed because documents are invalid. */
  record Invalid(List<Finding> findings) implements ChangeResult {}

  /** Nothing was changed because documents have other versions than expected. */
  record Conflicted(List<VersionConflict> conflicts) implements ChangeResult {}

  /** Nothing was changed because the document or server does not exist. */
  record NotFound(String detail) implements ChangeResult {}

  /** Nothing was changed because the store did not respond, refused, or had too many conflicts. */
  record Unavailable(String reason) implements ChangeResult {}

  /** It is unknown whether the change was applied. */
  record Unsettled(String reason, String changeId) implements ChangeResult {}
}

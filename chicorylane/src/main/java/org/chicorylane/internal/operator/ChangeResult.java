package org.chicorylane.internal.operator;

import java.util.List;
import org.chicorylane.internal.finding.Finding;

/** What became of a change. Immutable. */
sealed interface ChangeResult {

  /**
   * It is in effect; in a dry run, it would be.
   *
   * @param revision the revision that holds it, or the present one if nothing was to be written
   */
  record Applied(long revision, List<ResourceOutcome> outcomes) implements ChangeResult {}

  /** Nothing was changed, since documents are wrong. */
  record Invalid(List<Finding> findings) implements ChangeResult {}

  /** Nothing was changed, since documents are in other versions. */
  record Conflicted(List<VersionConflict> conflicts) implements ChangeResult {}

  /** Nothing was changed, since there is no such thing. */
  record NotFound(String detail) implements ChangeResult {}

  /** Nothing was changed, since the store did not answer or refused. */
  record Unavailable(String reason) implements ChangeResult {}

  /** It cannot be told yet whether it took effect. */
  record Unsettled(String reason, String changeId) implements ChangeResult {}
}

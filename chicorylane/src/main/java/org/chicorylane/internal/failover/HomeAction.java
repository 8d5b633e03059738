package org.chicorylane.internal.failover;

import java.time.Instant;
import java.util.List;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.position.TermHistory;

/**
 * An action that a {@link HomeStateMachine} requests from its adapters.
 *
 * <p>Actions on one control connection run in order. Each action that has an answer is answered
 * exactly once, unless the connection is lost. At most one of {@link ReadRecord} and {@link
 * SwapRecord} is unanswered at a time; the adapter answers it within its own timeout.
 */
public sealed interface HomeAction {

  /** An action on one control connection. */
  sealed interface ConnectionAction extends HomeAction {
    /** Returns the connection. */
    ControlConnection connection();
  }

  /**
   * Opens a control connection with {@code idle_session_timeout} set. Answered by {@link
   * HomeEvent.ControlOpened} or {@link HomeEvent.ControlFailed}.
   */
  record OpenControl(ControlConnection connection) implements ConnectionAction {}

  /** Closes the connection and discards it. No further event is reported for it. */
  record CloseControl(ControlConnection connection) implements ConnectionAction {}

  /**
   * Ends older control sessions of this process on the server, then tries to acquire the home lock.
   * Answered by {@link HomeEvent.LockAnswered}.
   */
  record TryLock(ControlConnection connection) implements ConnectionAction {}

  /**
   * Ends every other session of the group's user on the server and waits until none is left.
   * Answered by {@link HomeEvent.OthersEnded}.
   */
  record EndOthers(ControlConnection connection) implements ConnectionAction {}

  /** Reads the server's log position. Answered by {@link HomeEvent.Observed}. */
  record Observe(ControlConnection connection) implements ConnectionAction {}

  /**
   * Seals the replica: stops it from following any server, waits until its WAL receiver has
   * stopped, and reads where its received log ends. Answered by {@link HomeEvent.SealAnswered}.
   */
  record Seal(ControlConnection connection) implements ConnectionAction {}

  /**
   * Promotes the replica to a timeline with the given number. PostgreSQL takes the number after the
   * highest timeline whose history file it has, so if the server's own timeline is below {@code
   * timeline - 1}, the adapter first writes a history file without parents for that number.
   * Answered by {@link HomeEvent.Promoted}.
   *
   * @param timeline the timeline to write, greater than the server's own
   */
  record Promote(ControlConnection connection, long timeline) implements ConnectionAction {}

  /**
   * Makes the replica follow another server. Answered by {@link HomeEvent.Followed}.
   *
   * @param upstream the name of the server to follow
   */
  record Follow(ControlConnection connection, String upstream) implements ConnectionAction {}

  /**
   * Asks at least two other instances whether they reach the server, preferring instances in other
   * availability zones. Answered by {@link HomeEvent.EvidenceAnswered} and {@link
   * HomeEvent.EvidenceEnded}.
   *
   * @param server the server to ask about
   * @param round identifies this query in the answers
   */
  record AskEvidence(String server, long round) implements HomeAction {}

  /**
   * Reads the group's record with a linearizable read. Answered by {@link HomeEvent.RecordRead} or
   * {@link HomeEvent.RecordUnavailable}.
   */
  record ReadRecord() implements HomeAction {}

  /**
   * Writes the group's record by compare-and-swap on its revision. Answered by {@link
   * HomeEvent.RecordSwapped}.
   *
   * @param expectedModRevision the expected revision; 0 if the record must not exist yet
   * @param record the new record
   */
  record SwapRecord(long expectedModRevision, GroupRecord record) implements HomeAction {}

  /**
   * Allows writes to be sent to the primary. Emitted again, without a {@link CloseWrites} in
   * between, when the voters change.
   *
   * @param primary the name of the primary
   * @param term the term of the writes
   * @param history the terms so far
   * @param historyKnown false if the key-value service has not been reached since this home began.
   *     It is then impossible to tell whether the data of a session from an older term was lost, so
   *     such a session must wait.
   * @param voters the servers of which a majority confirms a write
   * @param floor the position that every read without a session must see
   */
  record OpenWrites(
      String primary,
      long term,
      TermHistory history,
      boolean historyKnown,
      List<String> voters,
      LogPosition floor)
      implements HomeAction {}

  /**
   * Forbids new writes.
   *
   * @param reason why writes are closed
   */
  record CloseWrites(CloseReason reason) implements HomeAction {}

  /** Allows use of the server. Emitted again when its role changes. */
  record UseServer(String server, ServerRole role) implements HomeAction {}

  /**
   * Forbids new work on the server. Answered by {@link HomeEvent.WorkEnded} once it has no work
   * left.
   */
  record DropServer(String server, DropReason reason) implements HomeAction {}

  /**
   * Reports that the server holds the log of the term up to the offset, as read on the connection
   * that holds the server's lock. To be passed to {@link ConfirmationTracker#onLogHeld}.
   */
  record LogHeld(String server, long term, long offset) implements HomeAction {}

  /**
   * Reports a fresh observation of a locked server, for read routing. Never emitted for a replica
   * that holds log that the current primary does not have.
   *
   * @param server the name of the server
   * @param replayed the position that the server has replayed, in the terms of the group
   * @param observation the log state that the server reported
   * @param sentAt when the observation was requested
   */
  record ServerSampled(
      String server, LogPosition replayed, ServerObservation observation, Instant sentAt)
      implements HomeAction {}

  /** Asks another instance to become home of the group; all control connections are closed. */
  record HandOver(String toInstance) implements HomeAction {}

  /** Reports something to operators, to be logged. */
  record Report(HomeReport report, String detail) implements HomeAction {}

  /**
   * Reports that an invariant does not hold, to be logged with its evidence and counted.
   *
   * @param name the invariant
   * @param evidence the observed values that violate it
   */
  record InvariantBroken(String name, String evidence) implements HomeAction {}
}

package org.chicorylane.internal.failover;

import java.time.Instant;
import java.util.List;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.position.TermHistory;

/**
 * What a {@link HomeStateMachine} asks of its adapters.
 *
 * <p>Actions on one control connection run in order, and each that has an answer is answered once,
 * unless the connection is lost. At most one of {@link ReadRecord} and {@link SwapRecord} is
 * unanswered at a time; the adapter answers it within its own timeout.
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

  /** Closes the connection and forgets it; nothing of it is reported any more. */
  record CloseControl(ControlConnection connection) implements ConnectionAction {}

  /**
   * Ends older control sessions of this same process on the server, then tries the home lock.
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
   * Makes the replica follow nobody, waits until its receiver has stopped, and reads where its
   * received log ends. Answered by {@link HomeEvent.SealAnswered}.
   */
  record Seal(ControlConnection connection) implements ConnectionAction {}

  /**
   * Promotes the replica to a timeline of the given number. PostgreSQL takes the number after the
   * highest whose history file it knows, so the adapter first writes a history file without parents
   * for {@code timeline - 1} if the server's own timeline is below that. Answered by {@link
   * HomeEvent.Promoted}.
   *
   * @param timeline the timeline to write, above the server's own
   */
  record Promote(ControlConnection connection, long timeline) implements ConnectionAction {}

  /**
   * Makes the replica follow another server. Answered by {@link HomeEvent.Followed}.
   *
   * @param upstream the name of the server to follow
   */
  record Follow(ControlConnection connection, String upstream) implements ConnectionAction {}

  /**
   * Asks at least two other instances, of other availability zones first, whether they reach the
   * server. Answered by {@link HomeEvent.EvidenceAnswered} and {@link HomeEvent.EvidenceEnded}.
   */
  record AskEvidence(String server, long round) implements HomeAction {}

  /**
   * Reads the group's record, linearizably. Answered by {@link HomeEvent.RecordRead} or {@link
   * HomeEvent.RecordUnavailable}.
   */
  record ReadRecord() implements HomeAction {}

  /**
   * Writes the group's record if its revision is the expected one. Answered by {@link
   * HomeEvent.RecordSwapped}.
   *
   * @param expectedModRevision the revision expected; 0 if the record must not exist
   */
  record SwapRecord(long expectedModRevision, GroupRecord record) implements HomeAction {}

  /**
   * Writes may be sent to the primary. Comes again, without a close between, when the voters
   * change.
   *
   * @param primary the server
   * @param term the term in which its writes count
   * @param history the terms so far
   * @param historyKnown false while the key-value service was not reached since this home began: a
   *     session of an older term can then not be told whether its data was lost and must wait
   * @param voters the servers of which a majority confirms a write
   * @param floor what every read without a session must see
   */
  record OpenWrites(
      String primary,
      long term,
      TermHistory history,
      boolean historyKnown,
      List<String> voters,
      LogPosition floor)
      implements HomeAction {}

  /** No new write may be sent. */
  record CloseWrites(CloseReason reason) implements HomeAction {}

  /** The server may be used; comes again when its role changes. */
  record UseServer(String server, ServerRole role) implements HomeAction {}

  /** The server takes no new work. Answered by {@link HomeEvent.WorkEnded} once it has none. */
  record DropServer(String server, DropReason reason) implements HomeAction {}

  /**
   * The server holds the log of the term up to the offset, seen on the connection that holds its
   * lock; to be passed to {@link ConfirmationTracker#onLogHeld}.
   */
  record LogHeld(String server, long term, long offset) implements HomeAction {}

  /**
   * A fresh observation of a locked server, for routing. A replica that holds log which the current
   * primary does not have is never sampled.
   *
   * @param replayed what it has replayed, in the group's terms
   * @param observation what it said
   * @param sentAt when the question was sent
   */
  record ServerSampled(
      String server, LogPosition replayed, ServerObservation observation, Instant sentAt)
      implements HomeAction {}

  /** Asks another instance to take the group; all control connections are closed. */
  record HandOver(String toInstance) implements HomeAction {}

  /** Something that operators should see in the log. */
  record Report(HomeReport report, String detail) implements HomeAction {}

  /**
   * An invariant does not hold: to be logged with its evidence and counted.
   *
   * @param name the invariant
   * @param evidence what was seen
   */
  record InvariantBroken(String name, String evidence) implements HomeAction {}
}

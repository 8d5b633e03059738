package org.chicorylane.internal.failover;

import java.util.List;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.jspecify.annotations.Nullable;

/**
 * An input to a {@link HomeStateMachine}: a change in its surroundings or the answer to a {@link
 * HomeAction}.
 */
public sealed interface HomeEvent {

  /** Time has passed. Sent at least every {@link FailoverTimings#TICK_INTERVAL}, 20 ms. */
  record Tick() implements HomeEvent {}

  /**
   * The order of the instances that are candidates for home of the group changed.
   *
   * @param firstCandidate whether this instance is the first candidate
   * @param candidates the names of the instances, most preferred first
   */
  record CandidatesChanged(boolean firstCandidate, List<String> candidates) implements HomeEvent {
    /** Copies the candidates. */
    public CandidatesChanged {
      candidates = List.copyOf(candidates);
    }
  }

  /**
   * Another instance asks this one to become home of the group.
   *
   * @param from the instance that released the group
   */
  record TakeoverRequested(String from) implements HomeEvent {}

  /**
   * The declaration of the group changed.
   *
   * @param group the new declaration
   */
  record GroupChanged(DatabaseGroup group) implements HomeEvent {}

  /** The instance is shutting down. */
  record Drain() implements HomeEvent {}

  /**
   * Writes are waiting for confirmation, so an observation should start before the next heartbeat.
   */
  record ObserveNow() implements HomeEvent {}

  /**
   * After {@link HomeAction.DropServer}: no request is in flight on the server any more, and none
   * of its writes is waiting for confirmation.
   *
   * @param server the server's name
   */
  record WorkEnded(String server) implements HomeEvent {}

  /** An event on one control connection. Answers come in the order of their actions. */
  sealed interface ConnectionEvent extends HomeEvent {
    /** Returns the connection. */
    ControlConnection connection();
  }

  /** The connection is open. */
  record ControlOpened(ControlConnection connection) implements ConnectionEvent {}

  /** The connection could not be opened. */
  record ControlFailed(ControlConnection connection, String reason) implements ConnectionEvent {}

  /** The open connection ended without a {@link HomeAction.CloseControl}. */
  record ControlLost(ControlConnection connection, String reason) implements ConnectionEvent {}

  /** The answer to {@link HomeAction.TryLock}: whether the lock was acquired. */
  record LockAnswered(ControlConnection connection, boolean acquired) implements ConnectionEvent {}

  /**
   * The answer to {@link HomeAction.EndOthers}: the sessions of other instances have ended, and
   * none of their statements is still running.
   */
  record OthersEnded(ControlConnection connection) implements ConnectionEvent {}

  /** The answer to {@link HomeAction.Observe}. */
  record Observed(ControlConnection connection, ServerObservation observation)
      implements ConnectionEvent {}

  /**
   * The answer to {@link HomeAction.Seal}: the replica no longer follows a primary and its WAL
   * receiver has stopped.
   *
   * @param timeline the timeline of the last byte that it received
   * @param receivedOffset where its received log ends; final, since the receiver has stopped
   */
  record SealAnswered(ControlConnection connection, long timeline, long receivedOffset)
      implements ConnectionEvent {}

  /**
   * The answer to {@link HomeAction.Promote}: the server is in primary mode.
   *
   * @param timeline the timeline that it writes
   * @param startOffset the offset at which that timeline began
   */
  record Promoted(ControlConnection connection, long timeline, long startOffset)
      implements ConnectionEvent {}

  /** The answer to {@link HomeAction.Follow}: the replica is configured to follow the server. */
  record Followed(ControlConnection connection) implements ConnectionEvent {}

  /** The server rejected a command; the connection is still open. */
  record ControlActionFailed(ControlConnection connection, ControlCommand command, String reason)
      implements ConnectionEvent {}

  /**
   * One instance's answer to {@link HomeAction.AskEvidence}.
   *
   * @param server the server asked about
   * @param round the round of the query
   * @param peer the instance that answered
   * @param reachability whether that instance reaches the server
   * @param timeline the timeline that the server writes, if it is reachable and in primary mode; 0
   *     otherwise
   */
  record EvidenceAnswered(
      String server, long round, String peer, ServerReachability reachability, long timeline)
      implements HomeEvent {}

  /**
   * Every instance that was asked by {@link HomeAction.AskEvidence} has answered or timed out.
   *
   * @param server the server asked about
   * @param round the round of the query
   * @param asked how many instances were asked; 0 if the fleet has no other instance
   */
  record EvidenceEnded(String server, long round, int asked) implements HomeEvent {}

  /**
   * The answer to {@link HomeAction.ReadRecord}.
   *
   * @param stored the record; null if there is none
   */
  record RecordRead(@Nullable StoredRecord stored) implements HomeEvent {}

  /** The failure of {@link HomeAction.ReadRecord}. */
  record RecordUnavailable(String reason) implements HomeEvent {}

  /** The answer to {@link HomeAction.SwapRecord}; comes exactly once. */
  record RecordSwapped(SwapResult result) implements HomeEvent {}
}

package org.chicorylane.internal.failover;

import java.util.List;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.jspecify.annotations.Nullable;

/** What a {@link HomeStateMachine} is told. */
public sealed interface HomeEvent {

  /** Time has passed; sent every 20 ms at most. */
  record Tick() implements HomeEvent {}

  /**
   * The order of candidates changed.
   *
   * @param firstCandidate whether this instance is the first
   * @param candidates the instances in order, first the preferred one
   */
  record CandidatesChanged(boolean firstCandidate, List<String> candidates) implements HomeEvent {
    /** Copies the candidates. */
    public CandidatesChanged {
      candidates = List.copyOf(candidates);
    }
  }

  /**
   * Another instance asks this one to take the group.
   *
   * @param from the instance that let go of it
   */
  record TakeoverRequested(String from) implements HomeEvent {}

  /**
   * The declaration of the group changed.
   *
   * @param group the new declaration
   */
  record GroupChanged(DatabaseGroup group) implements HomeEvent {}

  /** The instance shuts down. */
  record Drain() implements HomeEvent {}

  /** Writes wait for confirmation; an observation should start before the next heartbeat. */
  record ObserveNow() implements HomeEvent {}

  /**
   * After {@link HomeAction.DropServer}: nothing is in flight on the server any more, and no write
   * of it waits for confirmation.
   *
   * @param server the server's name
   */
  record WorkEnded(String server) implements HomeEvent {}

  /** An event of one control connection. Answers come in the order of their actions. */
  sealed interface ConnectionEvent extends HomeEvent {
    /** Returns the connection. */
    ControlConnection connection();
  }

  /** The connection is open. */
  record ControlOpened(ControlConnection connection) implements ConnectionEvent {}

  /** The connection could not be opened. */
  record ControlFailed(ControlConnection connection, String reason) implements ConnectionEvent {}

  /** The open connection ended without {@link HomeAction.CloseControl}. */
  record ControlLost(ControlConnection connection, String reason) implements ConnectionEvent {}

  /** Whether {@link HomeAction.TryLock} got the lock. */
  record LockAnswered(ControlConnection connection, boolean acquired) implements ConnectionEvent {}

  /** The sessions of other instances have ended; none of their statements runs any more. */
  record OthersEnded(ControlConnection connection) implements ConnectionEvent {}

  /** The answer of {@link HomeAction.Observe}. */
  record Observed(ControlConnection connection, ServerObservation observation)
      implements ConnectionEvent {}

  /**
   * The replica follows no primary any more and its receiver has stopped.
   *
   * @param timeline the timeline of the last byte that it received
   * @param receivedOffset where its received log ends for good
   */
  record SealAnswered(ControlConnection connection, long timeline, long receivedOffset)
      implements ConnectionEvent {}

  /**
   * The server is in primary mode.
   *
   * @param timeline the timeline that it writes
   * @param startOffset where that timeline began
   */
  record Promoted(ControlConnection connection, long timeline, long startOffset)
      implements ConnectionEvent {}

  /** The replica was set to follow the server of {@link HomeAction.Follow}. */
  record Followed(ControlConnection connection) implements ConnectionEvent {}

  /** A command was refused by the server; the connection is still open. */
  record ControlActionFailed(ControlConnection connection, ControlCommand command, String reason)
      implements ConnectionEvent {}

  /**
   * Another instance answered {@link HomeAction.AskEvidence}.
   *
   * @param server the server asked about
   * @param round the round of the question
   * @param peer the instance that answered
   * @param reachability what it says
   * @param timeline the timeline that the server writes, if it is reachable and in primary mode; 0
   *     otherwise
   */
  record EvidenceAnswered(
      String server, long round, String peer, ServerReachability reachability, long timeline)
      implements HomeEvent {}

  /**
   * Every instance that was asked has answered or timed out.
   *
   * @param server the server asked about
   * @param round the round of the question
   * @param asked how many instances were asked; 0 if the fleet has no other instance
   */
  record EvidenceEnded(String server, long round, int asked) implements HomeEvent {}

  /**
   * The answer of {@link HomeAction.ReadRecord}.
   *
   * @param stored the record; null if there is none
   */
  record RecordRead(@Nullable StoredRecord stored) implements HomeEvent {}

  /** {@link HomeAction.ReadRecord} failed. */
  record RecordUnavailable(String reason) implements HomeEvent {}

  /** The answer of {@link HomeAction.SwapRecord}; comes exactly once. */
  record RecordSwapped(SwapResult result) implements HomeEvent {}
}

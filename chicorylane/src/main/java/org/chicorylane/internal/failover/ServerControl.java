package org.chicorylane.internal.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Runs the control connection of a home to one backend server: opens it, acquires the home lock,
 * observes the server on each heartbeat, and keeps the last observation.
 *
 * <p>The lock belongs to the connection, so all state kept here also belongs to the current
 * connection and is discarded with it. Not thread-safe.
 */
final class ServerControl {
  private static final int MAX_OUTSTANDING_OBSERVATIONS = 2;

  private enum State {
    CLOSED,
    OPENING,
    LOCKING,
    REFUSED,
    ENDING_OTHERS,
    LOCKED,
    READY;

    boolean isLocked() {
      return compareTo(ENDING_OTHERS) >= 0;
    }
  }

  private final String name;
  private final HomeContext context;
  private final Deque<Instant> outstandingObservations = new ArrayDeque<>();
  private State state = State.CLOSED;
  private ControlConnection connection;
  private Instant retryAt = Instant.MIN;
  private Instant waitingSince = Instant.MIN;
  private Instant lastAnswerAt = Instant.MIN;
  private Instant lastObserveAt = Instant.MIN;
  private Instant lockedAt = Instant.MAX;
  private long requestedTimeline;
  private int consecutiveOpenFailures;
  private boolean observationRequested;
  private boolean lockRefused;
  private boolean fenced;
  private @Nullable ControlCommand pendingCommand;
  private @Nullable ServerObservation observation;
  private Instant observationSentAt = Instant.MIN;
  private HomeEvent.@Nullable SealAnswered seal;

  ServerControl(String name, HomeContext context) {
    this.name = name;
    this.context = context;
    this.connection = new ControlConnection(name, 0);
  }

  String name() {
    return name;
  }

  ControlConnection connection() {
    return connection;
  }

  boolean isOpen() {
    return state != State.CLOSED;
  }

  boolean isLocked() {
    return state.isLocked();
  }

  /** Returns when the lock was acquired; {@link Instant#MAX} while it is not held. */
  Instant lockedAt() {
    return lockedAt;
  }

  /** Returns whether another session held the lock when this one last tried to acquire it. */
  boolean isLockRefused() {
    return lockRefused;
  }

  /**
   * Returns whether the lock is held, other sessions have ended and the server has been observed.
   */
  boolean isReady() {
    return state == State.READY;
  }

  /** Returns the last observation; null unless ready. */
  @Nullable ServerObservation observation() {
    return state == State.READY ? observation : null;
  }

  /** Returns whether the last observation was requested at {@code since} or later. */
  boolean isObservedSince(Instant since) {
    return state == State.READY && !observationSentAt.isBefore(since);
  }

  /** Returns whether the server is ready and in recovery. */
  boolean isReadyReplica() {
    ServerObservation seen = observation();
    return seen != null && seen.inRecovery();
  }

  /** Returns the answer to the seal on this connection; null if the server is not sealed. */
  HomeEvent.@Nullable SealAnswered seal() {
    return seal;
  }

  /** Returns the seal, promote or follow command that is not answered yet; null if none. */
  @Nullable ControlCommand pendingCommand() {
    return pendingCommand;
  }

  /**
   * Returns whether a compare-and-swap that was sent after the lock was acquired has taken effect.
   * Swaps of older homes then fail.
   */
  boolean isFenced() {
    return fenced;
  }

  void setFenced() {
    fenced = true;
  }

  /**
   * Returns whether the server is suspected to have failed: the last attempt to open a connection
   * failed, or no answer arrived within {@link FailoverTimings#suspicionTimeout}.
   */
  boolean isSuspect() {
    return consecutiveOpenFailures > 0
        || context.hasPassed(context.timings().suspicionTimeout(), lastAnswerAt);
  }

  /** Returns whether the last attempt to open a connection failed. */
  boolean hasFailedToOpen() {
    return consecutiveOpenFailures > 0;
  }

  /** Restarts the answer timeout and allows an immediate attempt to open a connection. */
  void startAnswerTimeout() {
    lastAnswerAt = context.now();
    consecutiveOpenFailures = 0;
    retryAt = context.now();
  }

  /** Restarts all answer timeouts, after a pause in which this instance itself did not run. */
  void restartAnswerTimeouts() {
    Instant now = context.now();
    lastAnswerAt = now;
    waitingSince = now;
    int count = outstandingObservations.size();
    outstandingObservations.clear();
    for (int i = 0; i < count; i++) {
      outstandingObservations.add(now);
    }
  }

  /**
   * Opens the connection, retries the lock, observes the server or closes a connection that has
   * timed out, if due.
   *
   * @param wanted whether the home may open connections and acquire locks
   */
  void step(boolean wanted) {
    switch (state) {
      case CLOSED -> {
        if (wanted && context.isDue(retryAt)) {
          open();
        }
      }
      case OPENING, LOCKING -> closeIfTimedOut(context.timings().suspicionTimeout(), waitingSince);
      case REFUSED -> {
        if (wanted && context.isDue(retryAt)) {
          tryLock();
        }
      }
      case ENDING_OTHERS -> closeIfTimedOut(context.timings().commandTimeout(), waitingSince);
      default -> stepLocked();
    }
  }

  private void stepLocked() {
    Duration limit =
        pendingCommand == null
            ? context.timings().suspicionTimeout()
            : context.timings().commandTimeout();
    Instant oldest = outstandingObservations.peekFirst();
    if (pendingCommand != null) {
      oldest = waitingSince;
    }
    if (oldest != null && closeIfTimedOut(limit, oldest)) {
      return;
    }
    boolean isHeartbeatDue = context.hasPassed(context.heartbeat(), lastObserveAt);
    if (pendingCommand == null && (isHeartbeatDue || observationRequested)) {
      observe();
    }
  }

  private void open() {
    connection = new ControlConnection(name, connection.number() + 1);
    state = State.OPENING;
    waitingSince = context.now();
    context.emit(new HomeAction.OpenControl(connection));
  }

  private boolean closeIfTimedOut(Duration limit, Instant since) {
    if (!context.hasPassed(limit, since)) {
      return false;
    }
    boolean wasOpening = state == State.OPENING;
    close();
    if (wasOpening) {
      onOpenFailed();
    } else {
      retryAt = context.now();
    }
    return true;
  }

  private void onOpenFailed() {
    consecutiveOpenFailures++;
    FailoverTimings timings = context.timings();
    retryAt =
        context
            .now()
            .plus(
                context.backoff(
                    timings.reopenRetry(), timings.reopenRetryLimit(), consecutiveOpenFailures));
  }

  private void tryLock() {
    state = State.LOCKING;
    waitingSince = context.now();
    context.emit(new HomeAction.TryLock(connection));
  }

  /**
   * Observes the server at once, or as soon as fewer than the maximum number of observations are
   * outstanding.
   */
  void observeSoon() {
    if (isLocked() && state != State.ENDING_OTHERS) {
      observationRequested = true;
      stepLocked();
    }
  }

  private void observe() {
    if (outstandingObservations.size() >= MAX_OUTSTANDING_OBSERVATIONS) {
      return;
    }
    observationRequested = false;
    lastObserveAt = context.now();
    outstandingObservations.add(context.now());
    context.emit(new HomeAction.Observe(connection));
  }

  /** Closes the connection, if open, and discards its state. */
  void close() {
    if (isOpen()) {
      context.emit(new HomeAction.CloseControl(connection));
    }
    resetConnectionState();
  }

  private void resetConnectionState() {
    state = State.CLOSED;
    lockedAt = Instant.MAX;
    lockRefused = false;
    outstandingObservations.clear();
    observationRequested = false;
    fenced = false;
    pendingCommand = null;
    observation = null;
    seal = null;
  }

  /** Sends the command to seal the replica. */
  void sendSeal() {
    sendCommand(ControlCommand.SEAL, new HomeAction.Seal(connection));
  }

  /** Discards the seal of an earlier attempt to replace the primary. */
  void clearSeal() {
    seal = null;
  }

  /** Sends the command to promote the replica to the given timeline. */
  void sendPromote(long timeline) {
    requestedTimeline = timeline;
    sendCommand(ControlCommand.PROMOTE, new HomeAction.Promote(connection, timeline));
  }

  /** Sends the command to follow another server. The replica no longer counts as sealed. */
  void sendFollow(String upstream) {
    seal = null;
    sendCommand(ControlCommand.FOLLOW, new HomeAction.Follow(connection, upstream));
  }

  private void sendCommand(ControlCommand sent, HomeAction action) {
    pendingCommand = sent;
    waitingSince = context.now();
    context.emit(action);
  }

  /**
   * Handles an event of the current connection.
   *
   * @return when the observation in the event was requested; null if the event is not an
   *     observation or the observation is ignored
   */
  @Nullable Instant handle(HomeEvent.ConnectionEvent event) {
    if (event instanceof HomeEvent.ControlFailed) {
      resetConnectionState();
      onOpenFailed();
      return null;
    }
    if (event instanceof HomeEvent.ControlLost) {
      resetConnectionState();
      retryAt = context.now();
      return null;
    }
    lastAnswerAt = context.now();
    consecutiveOpenFailures = 0;
    if (event instanceof HomeEvent.ControlOpened) {
      tryLock();
    } else if (event instanceof HomeEvent.LockAnswered answered) {
      onLockAnswered(answered.acquired());
    } else if (event instanceof HomeEvent.OthersEnded) {
      state = State.LOCKED;
      observe();
    } else if (event instanceof HomeEvent.Observed answer) {
      return onObserved(answer.observation());
    } else if (event instanceof HomeEvent.SealAnswered answered) {
      pendingCommand = null;
      seal = answered;
    } else if (event instanceof HomeEvent.Promoted promoted) {
      onPromoted(promoted);
    } else if (event instanceof HomeEvent.Followed) {
      pendingCommand = null;
      observeSoon();
    } else if (event instanceof HomeEvent.ControlActionFailed failed) {
      onActionFailed(failed);
    }
    return null;
  }

  private void onLockAnswered(boolean acquired) {
    lockRefused = !acquired;
    if (acquired) {
      state = State.ENDING_OTHERS;
      lockedAt = context.now();
      waitingSince = context.now();
      context.emit(new HomeAction.EndOthers(connection));
    } else {
      state = State.REFUSED;
      retryAt = context.now().plus(context.jittered(context.timings().lockRetry()));
    }
  }

  private @Nullable Instant onObserved(ServerObservation observed) {
    Instant sentAt = outstandingObservations.pollFirst();
    if (sentAt == null || !isLocked()) {
      return null;
    }
    observation = observed;
    observationSentAt = sentAt;
    state = State.READY;
    return sentAt;
  }

  private void onPromoted(HomeEvent.Promoted promoted) {
    if (promoted.timeline() < requestedTimeline) {
      context.emit(
          new HomeAction.InvariantBroken(
              "a promoted server writes the timeline asked for",
              promoted + " instead of " + requestedTimeline));
    }
    pendingCommand = null;
    long start = promoted.startOffset();
    observation = new ServerObservation(false, promoted.timeline(), start, start, null);
    observeSoon();
  }

  private void onActionFailed(HomeEvent.ControlActionFailed failed) {
    context.report(
        HomeReport.CONTROL_COMMAND_FAILED,
        connection + " " + failed.command() + ": " + failed.reason());
    switch (failed.command()) {
      case OBSERVE -> outstandingObservations.pollFirst();
      case TRY_LOCK -> onLockAnswered(false);
      case END_OTHERS -> {
        close();
        retryAt = context.now().plus(context.jittered(context.timings().lockRetry()));
      }
      default -> pendingCommand = null;
    }
  }
}

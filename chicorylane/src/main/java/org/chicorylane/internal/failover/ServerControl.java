package org.chicorylane.internal.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * The control connection of a home to one backend server: opening, the home lock, the heartbeat,
 * and what the server said last.
 *
 * <p>Whatever is remembered here belongs to the current connection and is forgotten with it, since
 * the lock goes with the connection. Not thread-safe.
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
  private final Deque<Instant> outstanding = new ArrayDeque<>();
  private State state = State.CLOSED;
  private ControlConnection connection;
  private Instant retryAt = Instant.MIN;
  private Instant waitingSince = Instant.MIN;
  private Instant lastHeard = Instant.MIN;
  private Instant lastObserve = Instant.MIN;
  private Instant lockedAt = Instant.MAX;
  private long requestedTimeline;
  private int openFailures;
  private boolean observeAgain;
  private boolean refused;
  private boolean fenced;
  private @Nullable ControlCommand command;
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

  /** Returns when the lock was got; in the far future while it is not held. */
  Instant lockedAt() {
    return lockedAt;
  }

  /** Returns whether another session held the lock when it was last tried. */
  boolean isRefused() {
    return refused;
  }

  /** Returns whether the lock is held, other sessions have ended and the server was observed. */
  boolean isReady() {
    return state == State.READY;
  }

  /** Returns the last observation; null unless ready. */
  @Nullable ServerObservation observation() {
    return state == State.READY ? observation : null;
  }

  /** Returns whether the last observation was asked for at {@code since} or later. */
  boolean isObservedSince(Instant since) {
    return state == State.READY && !observationSentAt.isBefore(since);
  }

  /** Returns whether the server is ready and in recovery. */
  boolean isReadyReplica() {
    ServerObservation seen = observation();
    return seen != null && seen.inRecovery();
  }

  /** Returns the answer of the seal on this connection; null if it is not sealed. */
  HomeEvent.@Nullable SealAnswered seal() {
    return seal;
  }

  /** Returns the seal, promote or follow command that is not answered yet; null if none. */
  @Nullable ControlCommand command() {
    return command;
  }

  /** Returns whether a compare-and-swap took effect that was sent after the lock was got. */
  boolean isFenced() {
    return fenced;
  }

  void setFenced() {
    fenced = true;
  }

  /** Returns whether the server fails to answer: openings fail, or nothing was heard for long. */
  boolean isSuspect() {
    return openFailures > 0 || context.hasPassed(context.timings().suspicionTimeout(), lastHeard);
  }

  /** Returns whether the last opening of a connection failed. */
  boolean hasFailedToOpen() {
    return openFailures > 0;
  }

  /** Starts counting silence now. */
  void expectAnswers() {
    lastHeard = context.now();
    openFailures = 0;
    retryAt = context.now();
  }

  /** Forgives silence in which this instance itself did not run. */
  void forgiveSilence() {
    Instant now = context.now();
    lastHeard = now;
    waitingSince = now;
    int count = outstanding.size();
    outstanding.clear();
    for (int i = 0; i < count; i++) {
      outstanding.add(now);
    }
  }

  /** Does what is due. */
  void step(boolean wanted) {
    switch (state) {
      case CLOSED -> {
        if (wanted && context.isDue(retryAt)) {
          open();
        }
      }
      case OPENING, LOCKING -> closeIfSilent(context.timings().suspicionTimeout(), waitingSince);
      case REFUSED -> {
        if (wanted && context.isDue(retryAt)) {
          tryLock();
        }
      }
      case ENDING_OTHERS -> closeIfSilent(context.timings().commandTimeout(), waitingSince);
      default -> stepLocked();
    }
  }

  private void stepLocked() {
    Duration limit =
        command == null ? context.timings().suspicionTimeout() : context.timings().commandTimeout();
    Instant oldest = outstanding.peekFirst();
    if (command != null) {
      oldest = waitingSince;
    }
    if (oldest != null && closeIfSilent(limit, oldest)) {
      return;
    }
    boolean heartbeatDue = context.hasPassed(context.heartbeat(), lastObserve);
    if (command == null && (heartbeatDue || observeAgain)) {
      observe();
    }
  }

  private void open() {
    connection = new ControlConnection(name, connection.number() + 1);
    state = State.OPENING;
    waitingSince = context.now();
    context.emit(new HomeAction.OpenControl(connection));
  }

  private boolean closeIfSilent(Duration limit, Instant since) {
    if (!context.hasPassed(limit, since)) {
      return false;
    }
    boolean opening = state == State.OPENING;
    close();
    if (opening) {
      openFailed();
    } else {
      retryAt = context.now();
    }
    return true;
  }

  private void openFailed() {
    openFailures++;
    FailoverTimings timings = context.timings();
    retryAt =
        context
            .now()
            .plus(context.backoff(timings.reopenRetry(), timings.reopenRetryLimit(), openFailures));
  }

  private void tryLock() {
    state = State.LOCKING;
    waitingSince = context.now();
    context.emit(new HomeAction.TryLock(connection));
  }

  /** Observes at once, or as soon as fewer questions are unanswered. */
  void observeSoon() {
    if (isLocked() && state != State.ENDING_OTHERS) {
      observeAgain = true;
      stepLocked();
    }
  }

  private void observe() {
    if (outstanding.size() >= MAX_OUTSTANDING_OBSERVATIONS) {
      return;
    }
    observeAgain = false;
    lastObserve = context.now();
    outstanding.add(context.now());
    context.emit(new HomeAction.Observe(connection));
  }

  /** Closes the connection, if open, and forgets what belongs to it. */
  void close() {
    if (isOpen()) {
      context.emit(new HomeAction.CloseControl(connection));
    }
    forgetConnection();
  }

  private void forgetConnection() {
    state = State.CLOSED;
    lockedAt = Instant.MAX;
    refused = false;
    outstanding.clear();
    observeAgain = false;
    fenced = false;
    command = null;
    observation = null;
    seal = null;
  }

  /** Sends a seal. */
  void sendSeal() {
    send(ControlCommand.SEAL, new HomeAction.Seal(connection));
  }

  /** Forgets the seal of an earlier try to replace the primary. */
  void forgetSeal() {
    seal = null;
  }

  /** Sends a promotion. */
  void sendPromote(long timeline) {
    requestedTimeline = timeline;
    send(ControlCommand.PROMOTE, new HomeAction.Promote(connection, timeline));
  }

  /** Tells the replica to follow another server; it counts as sealed no longer. */
  void sendFollow(String upstream) {
    seal = null;
    send(ControlCommand.FOLLOW, new HomeAction.Follow(connection, upstream));
  }

  private void send(ControlCommand sent, HomeAction action) {
    command = sent;
    waitingSince = context.now();
    context.emit(action);
  }

  /**
   * Takes an event of the current connection.
   *
   * @return when the observation in it was asked for; null if it was none
   */
  @Nullable Instant on(HomeEvent.ConnectionEvent event) {
    if (event instanceof HomeEvent.ControlFailed) {
      forgetConnection();
      openFailed();
      return null;
    }
    if (event instanceof HomeEvent.ControlLost) {
      forgetConnection();
      retryAt = context.now();
      return null;
    }
    lastHeard = context.now();
    openFailures = 0;
    if (event instanceof HomeEvent.ControlOpened) {
      tryLock();
    } else if (event instanceof HomeEvent.LockAnswered answered) {
      onLock(answered.acquired());
    } else if (event instanceof HomeEvent.OthersEnded) {
      state = State.LOCKED;
      observe();
    } else if (event instanceof HomeEvent.Observed observed) {
      return onObserved(observed.observation());
    } else if (event instanceof HomeEvent.SealAnswered answered) {
      command = null;
      seal = answered;
    } else if (event instanceof HomeEvent.Promoted promoted) {
      onPromoted(promoted);
    } else if (event instanceof HomeEvent.Followed) {
      command = null;
      observeSoon();
    } else if (event instanceof HomeEvent.ControlActionFailed failed) {
      onFailed(failed);
    }
    return null;
  }

  private void onLock(boolean acquired) {
    refused = !acquired;
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
    Instant sentAt = outstanding.pollFirst();
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
    command = null;
    long start = promoted.startOffset();
    observation = new ServerObservation(false, promoted.timeline(), start, start, null);
    observeSoon();
  }

  private void onFailed(HomeEvent.ControlActionFailed failed) {
    context.report(
        HomeReport.CONTROL_COMMAND_FAILED,
        connection + " " + failed.command() + ": " + failed.reason());
    switch (failed.command()) {
      case OBSERVE -> outstanding.pollFirst();
      case TRY_LOCK -> onLock(false);
      case END_OTHERS -> {
        close();
        retryAt = context.now().plus(context.jittered(context.timings().lockRetry()));
      }
      default -> command = null;
    }
  }
}

package org.chicorylane.internal.dissemination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * The state machine that keeps an instance's declarations up to date. It decides when to read them
 * from the store, when to pull them from a peer, and which snapshot is in force.
 *
 * <pre>{@code
 * perform(stateMachine.onRevisionReported(revisionInDatagram, now));
 * perform(stateMachine.onTick(now));
 * stateMachine.nextTick().ifPresent(this::scheduleTickAt);
 * }</pre>
 *
 * <p>A few instances watch the store and read from it. The others learn of a new revision by gossip
 * and pull it from a peer. They read the store only after failed pulls and poll it at long
 * intervals. Only a newer snapshot is ever installed, so neither a stale peer nor a restored store
 * can revert an instance to an older revision.
 *
 * <p>Not thread-safe. It reads no clock; the instants that callers pass must not decrease. For
 * every action that asks for a report, the caller must make exactly one.
 */
public final class RevisionStateMachine {

  private static final int PULLS_BEFORE_STORE = 2;
  private static final double JITTER = 0.2;

  private enum Operation {
    NONE,
    CHECK,
    READ,
    PULL
  }

  private final RevisionOptions options;
  private final Random random;
  private Operation inFlight = Operation.NONE;
  private boolean loaded;
  private boolean watcher;
  private boolean watching;
  private int fleetSize = 1;
  private int failures;
  private long installed;
  private long newestReported;
  private Instant nextAttempt;
  private Instant nextPoll;
  private List<RevisionAction> actions = new ArrayList<>();

  /**
   * Creates the state machine of an instance that has no declarations in force. The first tick is
   * due immediately.
   *
   * @param seed the seed of the random jitter of delays
   */
  public RevisionStateMachine(RevisionOptions options, long seed, Instant now) {
    this.options = options;
    this.random = new Random(seed);
    this.nextAttempt = now;
    this.nextPoll = now;
  }

  /** Returns the revision in force, or 0 if there is none. */
  public long installedRevision() {
    return installed;
  }

  /** Returns when {@link #onTick} must be called next, or empty while a report is outstanding. */
  public Optional<Instant> nextTick() {
    if (inFlight != Operation.NONE) {
      return Optional.empty();
    }
    boolean attemptDueFirst = isBehind() || needsWatch() || nextPoll.isBefore(nextAttempt);
    return Optional.of(attemptDueFirst ? nextAttempt : nextPoll);
  }

  /** Performs the work that is due at {@code now}. */
  public List<RevisionAction> onTick(Instant now) {
    return decideNext(now);
  }

  /** Sets whether this instance must watch the store, and the number of live instances. */
  public List<RevisionAction> onRole(boolean mustWatch, int liveInstances, Instant now) {
    fleetSize = Math.max(1, liveInstances);
    watcher = mustWatch;
    if (!watcher && watching) {
      watching = false;
      actions.add(new RevisionAction.CloseWatch());
    }
    return decideNext(now);
  }

  /** Handles a revision that a peer or the watch reported. */
  public List<RevisionAction> onRevisionReported(long revision, Instant now) {
    if (revision > newestReported) {
      newestReported = revision;
      failures = 0;
      nextAttempt = now;
    }
    return decideNext(now);
  }

  /**
   * Handles the result of {@link RevisionAction.CheckStore}.
   *
   * @param revision the newest revision of the declarations
   * @param readAt the store's revision at the read
   */
  public List<RevisionAction> onChecked(long revision, long readAt, Instant now) {
    onSuccess(now);
    newestReported = Math.max(newestReported, revision);
    nextPoll = now.plus(withJitter(options.pollInterval(fleetSize)));
    if (revision <= installed) {
      openWatch(readAt);
    }
    return decideNext(now);
  }

  /**
   * Handles the result of {@link RevisionAction.ReadStore}.
   *
   * @param snapshot the documents read
   * @param readAt the store's revision at the read
   */
  public List<RevisionAction> onRead(DeclarationSnapshot snapshot, long readAt, Instant now) {
    onSuccess(now);
    loaded = true;
    install(snapshot);
    newestReported = installed;
    nextPoll = now.plus(withJitter(options.pollInterval(fleetSize)));
    openWatch(readAt);
    return decideNext(now);
  }

  /**
   * Handles the result of {@link RevisionAction.PullFromPeer}. A snapshot that is not newer than
   * the installed one counts as a failure.
   */
  public List<RevisionAction> onPulled(DeclarationSnapshot snapshot, Instant now) {
    if (snapshot.revision() <= installed) {
      return onFailed(now);
    }
    onSuccess(now);
    loaded = true;
    install(snapshot);
    return decideNext(now);
  }

  /**
   * Handles the failure of {@link RevisionAction.CheckStore}, {@link RevisionAction.ReadStore} or
   * {@link RevisionAction.PullFromPeer}.
   */
  public List<RevisionAction> onFailed(Instant now) {
    if (inFlight == Operation.CHECK) {
      nextPoll = now.plus(withJitter(options.pollInterval(fleetSize)));
    }
    inFlight = Operation.NONE;
    failures++;
    nextAttempt = now.plus(withJitter(options.retryDelay(failures)));
    return decideNext(now);
  }

  /** Handles the end of the watch because the store dropped history that the watch needs. */
  public List<RevisionAction> onWatchLost(Instant now) {
    watching = false;
    return decideNext(now);
  }

  private List<RevisionAction> decideNext(Instant now) {
    if (inFlight == Operation.NONE && !now.isBefore(nextAttempt)) {
      if (isBehind()) {
        beginCatchUp();
      } else if (needsWatch() || !now.isBefore(nextPoll)) {
        begin(Operation.CHECK, new RevisionAction.CheckStore());
      }
    }
    List<RevisionAction> pendingActions = actions;
    actions = new ArrayList<>();
    return pendingActions;
  }

  private boolean isBehind() {
    return !loaded || newestReported > installed;
  }

  private boolean needsWatch() {
    return watcher && !watching;
  }

  /**
   * Begins a read or a pull. Watchers try the store first and other instances try peers first;
   * after failures, one read of the store alternates with {@link #PULLS_BEFORE_STORE} pulls.
   */
  private void beginCatchUp() {
    int attempt = failures % (PULLS_BEFORE_STORE + 1);
    boolean readsStore = watcher ? attempt == 0 : attempt == PULLS_BEFORE_STORE;
    if (readsStore) {
      begin(Operation.READ, new RevisionAction.ReadStore());
    } else {
      begin(Operation.PULL, new RevisionAction.PullFromPeer(newestReported));
    }
  }

  private void begin(Operation operation, RevisionAction action) {
    inFlight = operation;
    actions.add(action);
  }

  private void onSuccess(Instant now) {
    inFlight = Operation.NONE;
    failures = 0;
    nextAttempt = now;
  }

  private void install(DeclarationSnapshot snapshot) {
    if (snapshot.revision() > installed) {
      installed = snapshot.revision();
      newestReported = Math.max(newestReported, installed);
      actions.add(new RevisionAction.Install(snapshot));
    }
  }

  private void openWatch(long readAt) {
    if (needsWatch()) {
      watching = true;
      actions.add(new RevisionAction.OpenWatch(readAt + 1));
    }
  }

  private Duration withJitter(Duration duration) {
    double factor = 1 + JITTER * (2 * random.nextDouble() - 1);
    return Duration.ofNanos((long) ((double) duration.toNanos() * factor));
  }
}

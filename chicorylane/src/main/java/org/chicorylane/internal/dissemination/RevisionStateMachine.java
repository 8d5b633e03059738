package org.chicorylane.internal.dissemination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Decides when an instance reads the declarations from the store, when from a peer, and which
 * snapshot it has in force.
 *
 * <pre>{@code
 * perform(core.onHeard(revisionInDatagram, now));
 * perform(core.onTick(now));
 * core.nextTick().ifPresent(this::scheduleTickAt);
 * }</pre>
 *
 * <p>A few instances watch the store and read from it. All others hear of a new revision and pull
 * it from a peer; the store is their last resort and is checked seldom. Only a newer snapshot is
 * ever installed, so neither a stale peer nor a restored store takes an instance back.
 *
 * <p>Not thread-safe: one thread calls it. It has no clock: instants must not decrease. Every
 * action that asks for a report gets exactly one.
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
  private long newestKnown;
  private Instant nextAttempt;
  private Instant nextPoll;
  private List<RevisionAction> actions = new ArrayList<>();

  /**
   * Creates the core of an instance that has nothing in force; the first tick is due at once.
   *
   * @param seed the seed of the jitter
   */
  public RevisionStateMachine(RevisionOptions options, long seed, Instant now) {
    this.options = options;
    this.random = new Random(seed);
    this.nextAttempt = now;
    this.nextPoll = now;
  }

  /** Returns the revision in force; 0 if none. */
  public long installedRevision() {
    return installed;
  }

  /** Returns when {@link #onTick} is due; empty while a report is awaited. */
  public Optional<Instant> nextTick() {
    if (inFlight != Operation.NONE) {
      return Optional.empty();
    }
    boolean soon = isBehind() || needsWatch() || nextPoll.isBefore(nextAttempt);
    return Optional.of(soon ? nextAttempt : nextPoll);
  }

  /** Does what is due at {@code now}. */
  public List<RevisionAction> onTick(Instant now) {
    return decide(now);
  }

  /** Takes whether this instance is to watch the store, and the number of live instances. */
  public List<RevisionAction> onRole(boolean toWatch, int liveInstances, Instant now) {
    fleetSize = Math.max(1, liveInstances);
    watcher = toWatch;
    if (!watcher && watching) {
      watching = false;
      actions.add(new RevisionAction.CloseWatch());
    }
    return decide(now);
  }

  /** Takes a revision that a peer or the watch told of. */
  public List<RevisionAction> onHeard(long revision, Instant now) {
    if (revision > newestKnown) {
      newestKnown = revision;
      failures = 0;
      nextAttempt = now;
    }
    return decide(now);
  }

  /**
   * Takes the result of {@code CheckStore}.
   *
   * @param revision the newest revision of the declarations
   * @param readAt the store's revision at the read
   */
  public List<RevisionAction> onChecked(long revision, long readAt, Instant now) {
    succeed(now);
    newestKnown = Math.max(newestKnown, revision);
    nextPoll = now.plus(jittered(options.pollInterval(fleetSize)));
    if (revision <= installed) {
      openWatch(readAt);
    }
    return decide(now);
  }

  /**
   * Takes the result of {@code ReadStore}.
   *
   * @param snapshot the documents read
   * @param readAt the store's revision at the read
   */
  public List<RevisionAction> onRead(DeclarationSnapshot snapshot, long readAt, Instant now) {
    succeed(now);
    loaded = true;
    install(snapshot);
    newestKnown = installed;
    nextPoll = now.plus(jittered(options.pollInterval(fleetSize)));
    openWatch(readAt);
    return decide(now);
  }

  /** Takes the result of {@code PullFromPeer}. */
  public List<RevisionAction> onPulled(DeclarationSnapshot snapshot, Instant now) {
    if (snapshot.revision() <= installed) {
      return onFailed(now);
    }
    succeed(now);
    loaded = true;
    install(snapshot);
    return decide(now);
  }

  /** Takes the failure of {@code CheckStore}, {@code ReadStore} or {@code PullFromPeer}. */
  public List<RevisionAction> onFailed(Instant now) {
    if (inFlight == Operation.CHECK) {
      nextPoll = now.plus(jittered(options.pollInterval(fleetSize)));
    }
    inFlight = Operation.NONE;
    failures++;
    nextAttempt = now.plus(jittered(options.retryDelay(failures)));
    return decide(now);
  }

  /** Takes that the store dropped history that the watch needs; the watch has ended. */
  public List<RevisionAction> onWatchLost(Instant now) {
    watching = false;
    return decide(now);
  }

  private List<RevisionAction> decide(Instant now) {
    if (inFlight == Operation.NONE && !now.isBefore(nextAttempt)) {
      if (isBehind()) {
        catchUp();
      } else if (needsWatch() || !now.isBefore(nextPoll)) {
        begin(Operation.CHECK, new RevisionAction.CheckStore());
      }
    }
    List<RevisionAction> taken = actions;
    actions = new ArrayList<>();
    return taken;
  }

  private boolean isBehind() {
    return !loaded || newestKnown > installed;
  }

  private boolean needsWatch() {
    return watcher && !watching;
  }

  /** Watchers try the store first, others peers; after failures both take turns. */
  private void catchUp() {
    int turn = failures % (PULLS_BEFORE_STORE + 1);
    boolean fromStore = watcher ? turn == 0 : turn == PULLS_BEFORE_STORE;
    if (fromStore) {
      begin(Operation.READ, new RevisionAction.ReadStore());
    } else {
      begin(Operation.PULL, new RevisionAction.PullFromPeer(newestKnown));
    }
  }

  private void begin(Operation operation, RevisionAction action) {
    inFlight = operation;
    actions.add(action);
  }

  private void succeed(Instant now) {
    inFlight = Operation.NONE;
    failures = 0;
    nextAttempt = now;
  }

  private void install(DeclarationSnapshot snapshot) {
    if (snapshot.revision() > installed) {
      installed = snapshot.revision();
      newestKnown = Math.max(newestKnown, installed);
      actions.add(new RevisionAction.Install(snapshot));
    }
  }

  private void openWatch(long readAt) {
    if (needsWatch()) {
      watching = true;
      actions.add(new RevisionAction.OpenWatch(readAt + 1));
    }
  }

  private Duration jittered(Duration duration) {
    double factor = 1 + JITTER * (2 * random.nextDouble() - 1);
    return Duration.ofNanos((long) ((double) duration.toNanos() * factor));
  }
}

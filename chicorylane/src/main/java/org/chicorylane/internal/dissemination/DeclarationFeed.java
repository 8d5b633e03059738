package org.chicorylane.internal.dissemination;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.membership.Member;
import org.chicorylane.internal.membership.MembershipSnapshot;
import org.chicorylane.internal.membership.Rendezvous;
import org.chicorylane.internal.membership.RevisionGossip;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.platform.WatchListener;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * The feed that keeps the declarations of this instance up to date. It runs {@link
 * RevisionStateMachine} over the store, the gossip and the peers.
 *
 * <pre>{@code
 * DeclarationFeed feed =
 *     DeclarationFeed.start(
 *         store, gossip, puller, parser, DeclarationFeed::isWatcher, clock, seed);
 * feed.addListener(declarations -> apply(declarations));
 * }</pre>
 *
 * <p>Thread-safe. Listeners run on the feed's only thread, one at a time, in order of revisions,
 * and must not block.
 */
public final class DeclarationFeed implements AutoCloseable {

  private static final String WATCHER_ROLE_NAME = "declarations";
  private static final int WATCHERS_PER_ZONE = 2;

  private final KeyValueStore store;
  private final RevisionGossip gossip;
  private final DeclarationPuller puller;
  private final DeclarationParser parser;
  private final Predicate<MembershipSnapshot> watcherRole;
  private final InstantSource clock;
  private final Random random;
  private final RevisionStateMachine stateMachine;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(DeclarationFeed::newThread);
  private final List<Consumer<Declarations>> listeners = new ArrayList<>();
  private volatile DeclarationSnapshot snapshot = DeclarationSnapshot.EMPTY;
  private volatile Declarations current = Declarations.EMPTY;
  private KeyValueStore.@Nullable Watch watch;
  private @Nullable ScheduledFuture<?> nextTick;
  private boolean closed;

  private DeclarationFeed(
      KeyValueStore store,
      RevisionGossip gossip,
      DeclarationPuller puller,
      DeclarationParser parser,
      Predicate<MembershipSnapshot> watcherRole,
      InstantSource clock,
      long seed) {
    this.store = store;
    this.gossip = gossip;
    this.puller = puller;
    this.parser = parser;
    this.watcherRole = watcherRole;
    this.clock = clock;
    this.random = new Random(seed);
    this.stateMachine = new RevisionStateMachine(RevisionOptions.DEFAULT, seed, clock.instant());
  }

  /**
   * Starts a feed, which begins to read immediately.
   *
   * @param watcherRole decides from the members of the fleet whether this instance watches the
   *     store; see {@link #isWatcher}
   * @param seed the seed of random jitter and of the random choice of peers
   */
  public static DeclarationFeed start(
      KeyValueStore store,
      RevisionGossip gossip,
      DeclarationPuller puller,
      DeclarationParser parser,
      Predicate<MembershipSnapshot> watcherRole,
      InstantSource clock,
      long seed) {
    DeclarationFeed feed =
        new DeclarationFeed(store, gossip, puller, parser, watcherRole, clock, seed);
    gossip.addListener(feed::onMembership);
    gossip.addRevisionListener(
        revision -> feed.handle(() -> feed.stateMachine.onRevisionReported(revision, feed.now())));
    feed.onMembership(gossip.snapshot());
    return feed;
  }

  /**
   * Returns whether this instance is one of the two in its availability zone that watch the store.
   */
  public static boolean isWatcher(MembershipSnapshot fleet) {
    String zone = fleet.self().availabilityZone();
    List<Member> inZone =
        fleet.liveMembers().stream().filter(m -> m.availabilityZone().equals(zone)).toList();
    return Rendezvous.candidates(WATCHER_ROLE_NAME, inZone).stream()
        .limit(WATCHERS_PER_ZONE)
        .anyMatch(m -> m.instanceId().equals(fleet.self().instanceId()));
  }

  /** Returns the declarations in force. */
  public Declarations current() {
    return current;
  }

  /** Returns the documents in force, which peers may pull. */
  public DeclarationSnapshot snapshot() {
    return snapshot;
  }

  /** Calls {@code listener} with the declarations in force, if any, and with all later ones. */
  public void addListener(Consumer<Declarations> listener) {
    handle(
        () -> {
          listeners.add(listener);
          if (current.revision() > 0) {
            notifyListener(listener, current);
          }
          return List.of();
        });
  }

  @Override
  public void close() {
    handle(
        () -> {
          closed = true;
          closeWatch();
          return List.of();
        });
    executor.shutdown();
  }

  private void onMembership(MembershipSnapshot fleet) {
    boolean mustWatch = watcherRole.test(fleet);
    handle(() -> stateMachine.onRole(mustWatch, fleet.liveMembers().size(), now()));
  }

  private void handle(Supplier<List<RevisionAction>> event) {
    try {
      executor.execute(() -> perform(event.get()));
    } catch (RejectedExecutionException e) {
      Logger.debug("ignored a task because the declaration feed is closed");
    }
  }

  private void perform(List<RevisionAction> actions) {
    for (RevisionAction action : actions) {
      if (action instanceof RevisionAction.CheckStore) {
        checkStore();
      } else if (action instanceof RevisionAction.ReadStore) {
        readStore();
      } else if (action instanceof RevisionAction.PullFromPeer pull) {
        pullFromPeer(pull.wantedRevision());
      } else if (action instanceof RevisionAction.OpenWatch open) {
        openWatch(open.fromRevision());
      } else if (action instanceof RevisionAction.Install install) {
        install(install.snapshot());
      } else {
        closeWatch();
      }
    }
    scheduleTick();
  }

  private void checkStore() {
    store
        .get(DeclarationKeys.REVISION_KEY)
        .thenAccept(
            result ->
                handle(
                    () ->
                        result instanceof ReadResult.Read read
                            ? stateMachine.onChecked(revisionOf(read), read.revision(), now())
                            : stateMachine.onFailed(now())));
  }

  /** Reads all documents, and then the revision key at the store revision of the first read. */
  private void readStore() {
    store
        .range(DeclarationKeys.DOCUMENT_PREFIX)
        .thenCompose(
            result ->
                result instanceof ReadResult.Read documents
                    ? store
                        .getAt(DeclarationKeys.REVISION_KEY, documents.revision())
                        .thenApply(key -> toSnapshot(documents, key))
                    : CompletableFuture.completedFuture(Optional.<StoreSnapshot>empty()))
        .thenAccept(
            read ->
                handle(
                    () ->
                        read.map(r -> stateMachine.onRead(r.snapshot(), r.readAt(), now()))
                            .orElseGet(() -> stateMachine.onFailed(now()))));
  }

  private record StoreSnapshot(DeclarationSnapshot snapshot, long readAt) {}

  private static Optional<StoreSnapshot> toSnapshot(ReadResult.Read documents, ReadResult key) {
    if (!(key instanceof ReadResult.Read read)) {
      return Optional.empty();
    }
    long revision = Math.max(revisionOf(documents), revisionOf(read));
    List<String> texts = documents.entries().stream().map(KeyValueEntry::value).toList();
    return Optional.of(
        new StoreSnapshot(new DeclarationSnapshot(revision, texts), documents.revision()));
  }

  private static long revisionOf(ReadResult.Read read) {
    return read.entries().stream().mapToLong(KeyValueEntry::modRevision).max().orElse(0);
  }

  private void pullFromPeer(long wantedRevision) {
    Optional<Member> peer = choosePeer(wantedRevision);
    if (peer.isEmpty()) {
      handle(() -> stateMachine.onFailed(now()));
      return;
    }
    puller
        .pull(peer.get(), stateMachine.installedRevision())
        .thenAccept(
            pulled ->
                handle(
                    () ->
                        pulled
                            .map(s -> stateMachine.onPulled(s, now()))
                            .orElseGet(() -> stateMachine.onFailed(now()))));
  }

  /**
   * Returns a random live peer among those that reported at least {@code wantedRevision}, or among
   * all live peers if there is none; empty if no peer is live.
   */
  private Optional<Member> choosePeer(long wantedRevision) {
    MembershipSnapshot fleet = gossip.snapshot();
    Map<String, Long> revisions = gossip.revisions();
    List<Member> live = fleet.others().stream().filter(m -> m.status().isLive()).toList();
    List<Member> upToDate = new ArrayList<>();
    for (Member member : live) {
      if (revisions.getOrDefault(member.instanceId(), 0L) >= wantedRevision) {
        upToDate.add(member);
      }
    }
    List<Member> choices = upToDate.isEmpty() ? live : upToDate;
    return choices.isEmpty()
        ? Optional.empty()
        : Optional.of(choices.get(random.nextInt(choices.size())));
  }

  private void openWatch(long fromRevision) {
    closeWatch();
    watch =
        store.watch(
            DeclarationKeys.REVISION_KEY,
            fromRevision,
            new WatchListener() {
              @Override
              public void onChanges(List<Change> changes, long revision) {
                handle(() -> stateMachine.onRevisionReported(revision, now()));
              }

              @Override
              public void onHistoryLost() {
                handle(() -> stateMachine.onWatchLost(now()));
              }
            });
  }

  private void closeWatch() {
    if (watch != null) {
      watch.close();
      watch = null;
    }
  }

  private void install(DeclarationSnapshot newer) {
    Declarations parsed;
    try {
      parsed = parser.parse(newer.revision(), newer.documents());
    } catch (RuntimeException e) {
      Logger.error(e, "parsing the declarations of revision {} failed", newer.revision());
      return;
    }
    snapshot = newer;
    current = parsed;
    gossip.setRevision(newer.revision());
    listeners.forEach(listener -> notifyListener(listener, parsed));
  }

  private static <T> void notifyListener(Consumer<T> listener, T event) {
    try {
      listener.accept(event);
    } catch (RuntimeException e) {
      Logger.error(e, "a declaration listener failed");
    }
  }

  private void scheduleTick() {
    if (nextTick != null) {
      nextTick.cancel(false);
    }
    if (!closed) {
      stateMachine.nextTick().ifPresent(this::scheduleTickAt);
    }
  }

  private void scheduleTickAt(Instant due) {
    long millis = Math.max(1, Duration.between(now(), due).toMillis());
    nextTick =
        executor.schedule(() -> perform(stateMachine.onTick(now())), millis, TimeUnit.MILLISECONDS);
  }

  private Instant now() {
    return clock.instant();
  }

  private static Thread newThread(Runnable work) {
    Thread thread = new Thread(work, "declaration-feed");
    thread.setDaemon(true);
    return thread;
  }
}

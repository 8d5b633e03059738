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
 * Keeps the declarations of this instance up to date: runs {@link RevisionStateMachine} over the
 * store, the gossip and the peers.
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

  private static final String WATCHER_NAME = "declarations";
  private static final int WATCHERS_PER_ZONE = 2;

  private final KeyValueStore store;
  private final RevisionGossip gossip;
  private final DeclarationPuller puller;
  private final DeclarationParser parser;
  private final Predicate<MembershipSnapshot> watcherRole;
  private final InstantSource clock;
  private final Random random;
  private final RevisionStateMachine core;
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
    this.core = new RevisionStateMachine(RevisionOptions.DEFAULT, seed, clock.instant());
  }

  /**
   * Starts a feed, which begins to read at once.
   *
   * @param watcherRole whether this instance watches the store, given the fleet; see {@link
   *     #isWatcher}
   * @param seed the seed of jitter and of the choice of peers
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
    gossip.addRevisionListener(revision -> feed.run(() -> feed.core.onHeard(revision, feed.now())));
    feed.onMembership(gossip.snapshot());
    return feed;
  }

  /** Returns whether this instance is one of the two that watch the store in its zone. */
  public static boolean isWatcher(MembershipSnapshot fleet) {
    String zone = fleet.self().availabilityZone();
    List<Member> inZone =
        fleet.liveMembers().stream().filter(m -> m.availabilityZone().equals(zone)).toList();
    return Rendezvous.candidates(WATCHER_NAME, inZone).stream()
        .limit(WATCHERS_PER_ZONE)
        .anyMatch(m -> m.instanceId().equals(fleet.self().instanceId()));
  }

  /** Returns the declarations in force. */
  public Declarations current() {
    return current;
  }

  /** Returns the documents in force, to be given to peers. */
  public DeclarationSnapshot snapshot() {
    return snapshot;
  }

  /** Has {@code listener} told of the declarations in force, if any, and of all later ones. */
  public void addListener(Consumer<Declarations> listener) {
    run(
        () -> {
          listeners.add(listener);
          if (current.revision() > 0) {
            tell(listener, current);
          }
          return List.of();
        });
  }

  @Override
  public void close() {
    run(
        () -> {
          closed = true;
          closeWatch();
          return List.of();
        });
    executor.shutdown();
  }

  private void onMembership(MembershipSnapshot fleet) {
    boolean watches = watcherRole.test(fleet);
    run(() -> core.onRole(watches, fleet.liveMembers().size(), now()));
  }

  private void run(Supplier<List<RevisionAction>> event) {
    try {
      executor.execute(() -> perform(event.get()));
    } catch (RejectedExecutionException e) {
      Logger.debug("the declaration feed is closed");
    }
  }

  private void perform(List<RevisionAction> actions) {
    for (RevisionAction action : actions) {
      if (action instanceof RevisionAction.CheckStore) {
        checkStore();
      } else if (action instanceof RevisionAction.ReadStore) {
        readStore();
      } else if (action instanceof RevisionAction.PullFromPeer pull) {
        pullFromPeer(pull.wanted());
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
                run(
                    () ->
                        result instanceof ReadResult.Read read
                            ? core.onChecked(revisionOf(read), read.revision(), now())
                            : core.onFailed(now())));
  }

  /** Reads all documents, then the revision key as it was at the same revision of the store. */
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
                run(
                    () ->
                        read.map(r -> core.onRead(r.snapshot(), r.readAt(), now()))
                            .orElseGet(() -> core.onFailed(now()))));
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

  private void pullFromPeer(long wanted) {
    Optional<Member> peer = choosePeer(wanted);
    if (peer.isEmpty()) {
      run(() -> core.onFailed(now()));
      return;
    }
    puller
        .pull(peer.get(), core.installedRevision())
        .thenAccept(
            pulled ->
                run(
                    () ->
                        pulled
                            .map(s -> core.onPulled(s, now()))
                            .orElseGet(() -> core.onFailed(now()))));
  }

  /** Returns a live peer, one that is known to have {@code wanted} if there is any. */
  private Optional<Member> choosePeer(long wanted) {
    MembershipSnapshot fleet = gossip.snapshot();
    Map<String, Long> revisions = gossip.revisions();
    List<Member> live = fleet.others().stream().filter(m -> m.status().isLive()).toList();
    List<Member> upToDate = new ArrayList<>();
    for (Member member : live) {
      if (revisions.getOrDefault(member.instanceId(), 0L) >= wanted) {
        upToDate.add(member);
      }
    }
    List<Member> choice = upToDate.isEmpty() ? live : upToDate;
    return choice.isEmpty()
        ? Optional.empty()
        : Optional.of(choice.get(random.nextInt(choice.size())));
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
                run(() -> core.onHeard(revision, now()));
              }

              @Override
              public void onHistoryLost() {
                run(() -> core.onWatchLost(now()));
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
      Logger.error(e, "declarations of revision {} could not be read", newer.revision());
      return;
    }
    snapshot = newer;
    current = parsed;
    gossip.setRevision(newer.revision());
    listeners.forEach(listener -> tell(listener, parsed));
  }

  private static <T> void tell(Consumer<T> listener, T news) {
    try {
      listener.accept(news);
    } catch (RuntimeException e) {
      Logger.error(e, "a listener failed on declarations");
    }
  }

  private void scheduleTick() {
    if (nextTick != null) {
      nextTick.cancel(false);
    }
    if (!closed) {
      core.nextTick().ifPresent(this::scheduleTickAt);
    }
  }

  private void scheduleTickAt(Instant due) {
    long millis = Math.max(1, Duration.between(now(), due).toMillis());
    nextTick = executor.schedule(() -> perform(core.onTick(now())), millis, TimeUnit.MILLISECONDS);
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

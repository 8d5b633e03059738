package org.chicorylane.internal.dissemination;

import static com.google.common.truth.Truth.assertThat;

import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.membership.Member;
import org.chicorylane.internal.membership.MemberStatus;
import org.chicorylane.internal.membership.MembershipSnapshot;
import org.chicorylane.internal.membership.RevisionGossip;
import org.chicorylane.internal.platform.InMemoryKeyValueStore;
import org.chicorylane.internal.platform.StoreTransaction;
import org.chicorylane.internal.platform.WriteResult;
import org.junit.jupiter.api.Test;

/**
 * Guards against declarations that do not come into force on an instance: because a listener
 * throws, a deletion is missed, or the store is down while peers have the newer revision.
 */
final class DeclarationFeedTest {

  private static final String KEY = DeclarationKeys.document("ReadClass", "browse");
  private static final Member PEER = member("i2");

  private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
  private final FakeGossip gossip = new FakeGossip();
  private Optional<DeclarationSnapshot> peerSnapshot = Optional.empty();

  @Test
  void testWatcherInstallsChangesAndDeletionsDespiteFailingListener() throws Exception {
    long first = apply(StoreTransaction.builder().put(KEY, "{}"));
    try (DeclarationFeed feed = start(true)) {
      feed.addListener(
          declarations -> {
            throw new IllegalStateException("a listener that fails");
          });
      awaitRevision(feed, first);
      assertThat(feed.snapshot().documents()).containsExactly("{}");
      long second = apply(StoreTransaction.builder().expect(KEY, first).delete(KEY));
      awaitRevision(feed, second);
      assertThat(feed.snapshot()).isEqualTo(new DeclarationSnapshot(second, List.of()));
      assertThat(gossip.ownRevision).isEqualTo(second);
    }
  }

  @Test
  void testNonWatcherPullsFromPeerWhileStoreIsDown() throws Exception {
    store.setDown(true);
    peerSnapshot = Optional.of(new DeclarationSnapshot(7, List.of("{}")));
    try (DeclarationFeed feed = start(false)) {
      awaitRevision(feed, 7);
      peerSnapshot = Optional.of(new DeclarationSnapshot(8, List.of()));
      gossip.reportRevision(8);
      awaitRevision(feed, 8);
      assertThat(feed.snapshot().documents()).isEmpty();
    }
  }

  @Test
  void testTwoInstancesPerZoneAreWatchers() {
    List<Member> zone = List.of(member("a"), member("b"), member("c"), member("d"));
    long watchers =
        zone.stream()
            .filter(
                self ->
                    DeclarationFeed.isWatcher(
                        new MembershipSnapshot(
                            self, zone.stream().filter(m -> !m.equals(self)).toList())))
            .count();
    assertThat(watchers).isEqualTo(2);
  }

  private DeclarationFeed start(boolean watcher) {
    return DeclarationFeed.start(
        store,
        gossip,
        (peer, revision) -> CompletableFuture.completedFuture(peerSnapshot),
        (revision, documents) -> new Declarations(revision, Map.of(), Map.of(), Map.of(), Map.of()),
        fleet -> watcher,
        InstantSource.system(),
        1);
  }

  private long apply(StoreTransaction.Builder change) {
    return ((WriteResult.Applied)
            store.transact(DeclarationKeys.markChanged(change, "change").build()).join())
        .revision();
  }

  private static void awaitRevision(DeclarationFeed feed, long revision) throws Exception {
    CompletableFuture<Declarations> reached = new CompletableFuture<>();
    feed.addListener(
        declarations -> {
          if (declarations.revision() >= revision) {
            reached.complete(declarations);
          }
        });
    assertThat(reached.get(10, TimeUnit.SECONDS).revision()).isEqualTo(revision);
  }

  private static Member member(String id) {
    return new Member(id, "10.0.0.1", 1, 2, "hall-liben", 1, MemberStatus.ALIVE);
  }

  private static final class FakeGossip implements RevisionGossip {
    private final Map<String, Long> revisions = new ConcurrentHashMap<>();
    private volatile Consumer<Long> revisionListener = r -> {};
    private volatile long ownRevision;

    void reportRevision(long revision) {
      revisions.put(PEER.instanceId(), revision);
      revisionListener.accept(revision);
    }

    @Override
    public MembershipSnapshot snapshot() {
      return new MembershipSnapshot(member("i1"), List.of(PEER));
    }

    @Override
    public Map<String, Long> revisions() {
      return revisions;
    }

    @Override
    public long highestRevisionSeen() {
      return revisions.values().stream().mapToLong(r -> r).max().orElse(0);
    }

    @Override
    public void setRevision(long revision) {
      ownRevision = revision;
    }

    @Override
    public void addListener(Consumer<MembershipSnapshot> listener) {
      listener.accept(snapshot());
    }

    @Override
    public void addRevisionListener(Consumer<Long> listener) {
      revisionListener = listener;
    }
  }
}

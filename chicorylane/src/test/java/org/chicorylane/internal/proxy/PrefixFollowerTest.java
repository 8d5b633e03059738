package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.mesh.generated.MeshReply;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.platform.RestorableStore;
import org.chicorylane.internal.platform.StoreTransaction;
import org.chicorylane.internal.platform.WatchListener;
import org.chicorylane.internal.platform.WriteResult;
import org.chicorylane.internal.runtime.VirtualScheduler;
import org.chicorylane.internal.topology.PeerInstance;
import org.junit.jupiter.api.Test;

/** Tests a follower whose reads and watch are answered in an order that the test chooses. */
final class PrefixFollowerTest {

  private static final KeyValueEntry OLD = new KeyValueEntry("servers/a", "ready", 5);
  private static final KeyValueEntry NEW = new KeyValueEntry("servers/a", "draining", 11);

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final List<CompletableFuture<ReadResult>> reads = new ArrayList<>();
  private final List<WatchListener> watches = new ArrayList<>();
  private final List<KeyValueEntry> reported = new ArrayList<>();
  private boolean storeUnavailable;

  private final PrefixFollower follower =
      new PrefixFollower(
          new RestorableStore(
              new FakeStore(), scheduler::nanoTime, scheduler::waitNanoTime, () -> {}),
          () -> storeUnavailable,
          "servers/",
          scheduler,
          new WatchRelays(new PeerInstance("i0", "i0-1", "i0:1", "zone-0", 100), List::of),
          () -> true,
          address -> {
            throw new AssertionError("no relay is asked");
          },
          Duration.ZERO,
          new PrefixFollower.Listener() {
            @Override
            public void onAll(List<KeyValueEntry> entries) {
              reported.addAll(entries);
            }

            @Override
            public void onChange(KeyValueEntry entry, boolean deleted) {
              reported.add(entry);
            }
          });

  private void answerRead(long revision, KeyValueEntry entry) {
    reads.remove(0).complete(new ReadResult.Read(List.of(entry), revision));
    scheduler.advance(Duration.ofMillis(1));
  }

  /** Reads through another instance while the watch reports a change that the read lacks. */
  private void readBeforeChangeOfWatch() {
    follower.start();
    answerRead(10, OLD);
    storeUnavailable = true;
    follower.tick();
    watches.get(0).onChanges(List.of(new WatchListener.Change(NEW, false)), 11);
    answerRead(10, OLD);
  }

  // Guards against a read through another instance that takes back a change of the open watch.
  @Test
  void testReadFromBeforeChangeDoesNotTakeItBack() {
    readBeforeChangeOfWatch();
    assertThat(reported).containsExactly(OLD, NEW).inOrder();
    scheduler.advance(Duration.ofSeconds(1));
    answerRead(11, NEW);
    assertThat(reported).containsExactly(OLD, NEW, NEW).inOrder();
  }

  // Guards against followers that never get a change which their relay's late read took back.
  @Test
  void testFollowerGetsChangeThatLateReadOfRelayLacked() {
    readBeforeChangeOfWatch();
    scheduler.advance(Duration.ofSeconds(1));
    if (!reads.isEmpty()) {
      answerRead(11, NEW);
    }
    storeUnavailable = false;
    follower.tick();
    List<MeshReply.Builder> replies = new ArrayList<>();
    follower.answer(10, replies::add);
    assertThat(replies).hasSize(1);
    assertThat(replies.get(0).getResultsList()).contains("draining");
  }

  /** A store whose reads the test answers. */
  private final class FakeStore implements KeyValueStore {
    @Override
    public CompletableFuture<ReadResult> get(String key) {
      return range(key);
    }

    @Override
    public CompletableFuture<ReadResult> getAt(String key, long revision) {
      return range(key);
    }

    @Override
    public CompletableFuture<ReadResult> range(String prefix) {
      CompletableFuture<ReadResult> read = new CompletableFuture<>();
      reads.add(read);
      return read;
    }

    @Override
    public CompletableFuture<WriteResult> transact(StoreTransaction transaction) {
      throw new AssertionError("a follower does not write");
    }

    @Override
    public Watch watch(String prefix, long fromRevision, WatchListener listener) {
      watches.add(listener);
      return () -> {};
    }

    @Override
    public void close() {}
  }
}

package org.chicorylane.internal.platform;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.chicorylane.standin.platform.KeyValueEngine;
import org.junit.jupiter.api.Test;

/**
 * Tests that every implementation of {@link KeyValueStore} must pass. They run against the
 * in-memory fake and against the etcd client with the stand-in platform.
 */
abstract class KeyValueStoreContract {

  private static final String KEY = "/t/přání/1";

  abstract KeyValueStore store();

  abstract KeyValueEngine engine();

  abstract void loseNextAnswers(int count);

  abstract void setDown(boolean down);

  final ConditionalWriter conditionalWriter() {
    return new ConditionalWriter(store(), d -> CompletableFuture.completedFuture(null));
  }

  @Test
  void testCreatesOnlyIfAbsent() {
    long revision = requireApplied(store().compareAndSwap(KEY, 0, "žluť"));
    WriteResult.Conflict conflict =
        (WriteResult.Conflict) store().compareAndSwap(KEY, 0, "other").join();
    assertThat(conflict.current()).containsExactly(new KeyValueEntry(KEY, "žluť", revision));
  }

  @Test
  void testSwapsOnlyAtExpectedRevision() {
    long first = requireApplied(store().compareAndSwap(KEY, 0, "a"));
    long second = requireApplied(store().compareAndSwap(KEY, first, "b"));
    assertThat(second).isGreaterThan(first);
    assertThat(store().compareAndSwap(KEY, first, "c").join())
        .isInstanceOf(WriteResult.Conflict.class);
  }

  @Test
  void testDeletesOnlyAtExpectedRevision() {
    long first = requireApplied(store().compareAndSwap(KEY, 0, "a"));
    long second = requireApplied(store().compareAndSwap(KEY, first, "b"));
    assertThat(store().compareAndDelete(KEY, first).join())
        .isInstanceOf(WriteResult.Conflict.class);
    requireApplied(store().compareAndDelete(KEY, second));
    assertThat(((ReadResult.Read) store().get(KEY).join()).first()).isEmpty();
  }

  @Test
  void testRangeReturnsOnlyKeysWithPrefixAndStoreRevision() {
    requireApplied(store().compareAndSwap("/t/1", 0, "a"));
    requireApplied(store().compareAndSwap("/t/2", 0, "b"));
    long last = requireApplied(store().compareAndSwap("/u", 0, "c"));
    ReadResult.Read read = (ReadResult.Read) store().range("/t/").join();
    assertThat(read.entries().stream().map(KeyValueEntry::key).toList())
        .containsExactly("/t/1", "/t/2")
        .inOrder();
    assertThat(read.revision()).isEqualTo(last);
  }

  @Test
  void testTransactionIsAllOrNothing() {
    long first = requireApplied(store().compareAndSwap("/t/1", 0, "a"));
    StoreTransaction.Builder change =
        StoreTransaction.builder().expect("/t/1", first).put("/t/1", "b").put("/t/2", "b");
    assertThat(store().transact(change.expect("/t/3", 9).build()).join())
        .isInstanceOf(WriteResult.Conflict.class);
    assertThat(((ReadResult.Read) store().get("/t/2").join()).first()).isEmpty();
  }

  @Test
  void testReadsEarlierRevision() {
    long first = requireApplied(store().compareAndSwap(KEY, 0, "a"));
    requireApplied(store().compareAndSwap(KEY, first, "b"));
    ReadResult.Read read = (ReadResult.Read) store().getAt(KEY, first).join();
    assertThat(read.first()).hasValue(new KeyValueEntry(KEY, "a", first));
  }

  @Test
  void testRefusesValueOverOneMebibyte() {
    String large = "x".repeat(KeyValueEngine.MAX_VALUE_BYTES + 1);
    assertThat(store().compareAndSwap(KEY, 0, large).join())
        .isInstanceOf(WriteResult.Refused.class);
    requireApplied(store().compareAndSwap(KEY, 0, large.substring(1)));
  }

  @Test
  void testWatchReportsPastAndNewChangesOnceInOrder() throws InterruptedException {
    long first = requireApplied(store().compareAndSwap("/t/1", 0, "a"));
    BlockingQueue<WatchListener.Change> seen = new LinkedBlockingQueue<>();
    try (KeyValueStore.Watch watch = store().watch("/t/", first, queueing(seen))) {
      assertThat(seen.poll(10, TimeUnit.SECONDS).entry().value()).isEqualTo("a");
      requireApplied(store().compareAndSwap("/u", 0, "not watched"));
      requireApplied(store().compareAndDelete("/t/1", first));
      assertThat(seen.poll(10, TimeUnit.SECONDS).deleted()).isTrue();
      assertThat(watch).isNotNull();
    }
    assertThat(seen).isEmpty();
  }

  @Test
  void testWatchFromCompactedRevisionReportsHistoryLost() throws InterruptedException {
    long first = requireApplied(store().compareAndSwap("/t/1", 0, "a"));
    long second = requireApplied(store().compareAndSwap("/t/1", first, "b"));
    engine().compact(second);
    BlockingQueue<WatchListener.Change> seen = new LinkedBlockingQueue<>();
    store().watch("/t/", first, queueing(seen));
    assertThat(seen.poll(10, TimeUnit.SECONDS)).isEqualTo(HISTORY_LOST);
  }

  @Test
  void testSwapWithLostAnswerIsReportedAsApplied() {
    long first = requireApplied(store().compareAndSwap(KEY, 0, "a"));
    loseNextAnswers(1);
    ConditionalWriteResult result = conditionalWriter().swap(KEY, first, "b by w1", "w1").join();
    assertThat(result).isEqualTo(new ConditionalWriteResult.Applied(first + 1));
    assertThat(engine().revision()).isEqualTo(first + 1);
  }

  @Test
  void testStoreIsUnavailableDuringOutageOnly() {
    requireApplied(store().compareAndSwap(KEY, 0, "a"));
    setDown(true);
    assertThat(store().get(KEY).join()).isInstanceOf(ReadResult.Unavailable.class);
    assertThat(store().compareAndSwap(KEY, 0, "b").join())
        .isInstanceOf(WriteResult.Unavailable.class);
    setDown(false);
    assertThat(((ReadResult.Read) store().get(KEY).join()).first().get().value()).isEqualTo("a");
  }

  static final WatchListener.Change HISTORY_LOST =
      new WatchListener.Change(new KeyValueEntry("history lost", "", 0), true);

  static WatchListener queueing(BlockingQueue<WatchListener.Change> queue) {
    return new WatchListener() {
      @Override
      public void onChanges(List<Change> changes, long revision) {
        queue.addAll(changes);
      }

      @Override
      public void onHistoryLost() {
        queue.add(HISTORY_LOST);
      }
    };
  }

  /** Returns the revision of a write that must have taken effect. */
  static long requireApplied(CompletableFuture<WriteResult> result) {
    return ((WriteResult.Applied) result.join()).revision();
  }
}

package org.chicorylane.internal.platform;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.chicorylane.standin.platform.KeyValueEngine;
import org.junit.jupiter.api.Test;

/**
 * Guards against answers that a restore of the store has made void: a conditional write that holds
 * on another content because its revision was assigned again, an answer of the earlier era that
 * arrives late, and a watch that continues across the restore and misses changes.
 */
final class RestorableStoreTest {

  private static final String KEY = "lane/k";

  private final InMemoryKeyValueStore inner = new InMemoryKeyValueStore();
  private final DelayedStore delayed = new DelayedStore(inner);
  private final List<Long> restores = new ArrayList<>();
  private long nanos = 1_000;
  private final RestorableStore store =
      new RestorableStore(delayed, () -> nanos, () -> nanos, () -> restores.add(inner.era()));

  private long put(String value) {
    WriteResult result = inner.transact(StoreTransaction.builder().put(KEY, value).build()).join();
    return ((WriteResult.Applied) result).revision();
  }

  private void restore(KeyValueEngine.Copy copy) {
    inner.restore(copy);
  }

  @Test
  void testFirstEraIsNoRestore() {
    store.get(KEY).join();
    assertThat(restores).isEmpty();
    assertThat(store.era()).isEqualTo(0);
  }

  @Test
  void testReadOfNewEraIsAnnouncedBeforeItIsDelivered() {
    store.get(KEY).join();
    restore(inner.engine().copy());
    nanos = 5_000;
    List<Integer> announcedAtDelivery = new ArrayList<>();
    store.get(KEY).thenAccept(r -> announcedAtDelivery.add(restores.size())).join();
    assertThat(announcedAtDelivery).containsExactly(1);
    assertThat(store.eraSeenNanos()).isEqualTo(5_000);
  }

  @Test
  void testEraOfAnErrorIsAnnounced() {
    store.get(KEY).join();
    store.onEra(1);
    assertThat(restores).hasSize(1);
    assertThat(store.era()).isEqualTo(1);
  }

  @Test
  void testLateReadOfEarlierEraIsUnavailable() {
    store.get(KEY).join();
    delayed.holdsAnswers = true;
    CompletableFuture<ReadResult> late = store.get(KEY);
    store.onEra(1);
    delayed.release();
    assertThat(late.join()).isInstanceOf(ReadResult.Unavailable.class);
  }

  @Test
  void testWriteThatExpectsRevisionOfEarlierEraIsNotSent() {
    KeyValueEngine.Copy copy = inner.engine().copy();
    final long seen = put("a");
    store.get(KEY).join();
    restore(copy);
    put("other");
    store.onEra(1);
    assertThat(store.compareAndSwap(KEY, seen, "b").join())
        .isInstanceOf(WriteResult.Conflict.class);
    assertThat(((ReadResult.Read) inner.get(KEY).join()).entries().get(0).value())
        .isEqualTo("other");
  }

  /** The revision was assigned again, so the condition holds on another content. */
  @Test
  void testWriteThatHeldOnContentOfNewEraIsNotReportedAsApplied() {
    KeyValueEngine.Copy copy = inner.engine().copy();
    final long seen = put("a");
    store.get(KEY).join();
    restore(copy);
    put("other");
    nanos = 9_000;
    assertThat(store.compareAndSwap(KEY, seen, "b").join())
        .isEqualTo(new WriteResult.Unavailable("the store was restored before the write", true));
    assertThat(restores).isNotEmpty();
    assertThat(store.eraSeenNanos()).isEqualTo(9_000);
  }

  @Test
  void testWriteOfEarlierEraWhoseAnswerIsLateIsNotReportedAsApplied() {
    store.get(KEY).join();
    delayed.holdsAnswers = true;
    CompletableFuture<WriteResult> late =
        store.transact(StoreTransaction.builder().put(KEY, "a").build());
    store.onEra(1);
    delayed.release();
    assertThat(late.join())
        .isEqualTo(new WriteResult.Unavailable("the store was restored after the write", true));
  }

  @Test
  void testConditionalWriterDoesNotRepeatAcrossRestore() {
    long seen = put("a");
    KeyValueEngine.Copy copy = inner.engine().copy();
    store.get(KEY).join();
    inner.loseNextRequests(1);
    ConditionalWriter writer =
        new ConditionalWriter(
            store,
            d -> {
              if (inner.era() == 0) {
                restore(copy);
              }
              return CompletableFuture.completedFuture(null);
            });
    assertThat(writer.swap(KEY, seen, "by w1", "w1").join())
        .isInstanceOf(ConditionalWriteResult.Unsettled.class);
    assertThat(((ReadResult.Read) inner.get(KEY).join()).entries().get(0).value()).isEqualTo("a");
  }

  /** The watch would continue in the new era from a revision that stands for another change. */
  @Test
  void testWatchLosesItsHistoryWhenTheEraChanges() {
    KeyValueEngine.Copy copy = inner.engine().copy();
    long from = put("a") + 1;
    RecordingListener listener = new RecordingListener();
    store.watch("lane/", from, listener);
    restore(copy);
    put("b");
    put("c");
    inner.reopenWatches();
    put("d");
    assertThat(listener.values).isEmpty();
    assertThat(listener.historyLosses).isEqualTo(1);
  }

  @Test
  void testWatchFromRevisionThatTheStoreLacksLosesItsHistory() {
    KeyValueEngine.Copy copy = inner.engine().copy();
    long from = put("a") + 1;
    RecordingListener listener = new RecordingListener();
    store.watch("lane/", from, listener);
    restore(copy);
    inner.reopenWatches();
    assertThat(listener.historyLosses).isEqualTo(1);
  }

  @Test
  void testWatchFromEarlierEraIsNotOpened() {
    store.get(KEY).join();
    store.onEra(1);
    RecordingListener listener = new RecordingListener();
    store.watch("lane/", 2, listener);
    put("a");
    assertThat(listener.values).isEmpty();
    assertThat(listener.historyLosses).isEqualTo(1);
  }

  /** Records what a watch reports. */
  private static final class RecordingListener implements WatchListener {
    final List<String> values = new ArrayList<>();
    int historyLosses;

    @Override
    public void onChanges(List<Change> changes, long revision) {
      changes.forEach(c -> values.add(c.entry().value()));
    }

    @Override
    public void onHistoryLost() {
      historyLosses++;
    }
  }

  /** A store that can hold back its answers, which are those of the time of the call. */
  private static final class DelayedStore implements KeyValueStore {
    private final KeyValueStore store;
    private final List<Runnable> held = new ArrayList<>();
    boolean holdsAnswers;

    DelayedStore(KeyValueStore store) {
      this.store = store;
    }

    void release() {
      held.forEach(Runnable::run);
      held.clear();
    }

    private <T> CompletableFuture<T> answer(CompletableFuture<T> answer) {
      if (!holdsAnswers) {
        return answer;
      }
      CompletableFuture<T> late = new CompletableFuture<>();
      held.add(() -> late.complete(answer.join()));
      return late;
    }

    @Override
    public CompletableFuture<ReadResult> get(String key) {
      return answer(store.get(key));
    }

    @Override
    public CompletableFuture<ReadResult> getAt(String key, long revision) {
      return answer(store.getAt(key, revision));
    }

    @Override
    public CompletableFuture<ReadResult> range(String prefix) {
      return answer(store.range(prefix));
    }

    @Override
    public CompletableFuture<WriteResult> transact(StoreTransaction transaction) {
      return answer(store.transact(transaction));
    }

    @Override
    public Watch watch(String prefix, long fromRevision, WatchListener listener) {
      return store.watch(prefix, fromRevision, listener);
    }

    @Override
    public void close() {}
  }
}

package org.chicorylane.internal.home;

import io.netty.util.concurrent.EventExecutor;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.chicorylane.internal.failover.GroupRecord;
import org.chicorylane.internal.failover.GroupRecordCodec;
import org.chicorylane.internal.failover.HomeEvent;
import org.chicorylane.internal.failover.StoredRecord;
import org.chicorylane.internal.failover.SwapResult;
import org.chicorylane.internal.platform.ConditionalWriteResult;
import org.chicorylane.internal.platform.ConditionalWriter;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.jspecify.annotations.Nullable;

/**
 * Reads the record of one group from the platform's key-value service, and replaces it by
 * compare-and-swap.
 *
 * <p>Results are passed to the event sink on the group's executor.
 */
final class RecordAdapter {
  /** The prefix of the keys of all groups' records; the group's name follows. */
  static final String KEY_PREFIX = "/chicorylane/records/";

  private final KeyValueStore store;
  private final ConditionalWriter conditionalWriter;
  private final EventExecutor executor;
  private final String key;
  private final Consumer<HomeEvent> eventSink;

  RecordAdapter(
      KeyValueStore store, EventExecutor executor, String group, Consumer<HomeEvent> eventSink) {
    this.store = store;
    this.conditionalWriter = new ConditionalWriter(store, delay -> completeAfter(executor, delay));
    this.executor = executor;
    this.key = KEY_PREFIX + group;
    this.eventSink = eventSink;
  }

  /** Reads the record. */
  void read() {
    store.get(key).thenAcceptAsync(r -> eventSink.accept(toReadEvent(r)), executor);
  }

  /** Stores {@code record} if the stored one has {@code expectedModRevision}. */
  void swap(long expectedModRevision, GroupRecord record) {
    conditionalWriter
        .swap(key, expectedModRevision, GroupRecordCodec.encode(record), record.promoter())
        .thenAcceptAsync(
            r -> eventSink.accept(new HomeEvent.RecordSwapped(toSwapResult(r))), executor);
  }

  private static CompletableFuture<Void> completeAfter(EventExecutor executor, Duration delay) {
    CompletableFuture<Void> due = new CompletableFuture<>();
    executor.schedule(() -> due.complete(null), delay.toMillis(), TimeUnit.MILLISECONDS);
    return due;
  }

  private HomeEvent toReadEvent(ReadResult result) {
    if (!(result instanceof ReadResult.Read read)) {
      return new HomeEvent.RecordUnavailable(String.valueOf(result));
    }
    if (read.entries().isEmpty()) {
      return new HomeEvent.RecordRead(null);
    }
    KeyValueEntry entry = read.entries().get(0);
    GroupRecordCodec.Result decoded = GroupRecordCodec.decode(entry.key(), entry.value());
    if (decoded instanceof GroupRecordCodec.Decoded d) {
      return new HomeEvent.RecordRead(new StoredRecord(d.record(), entry.modRevision()));
    }
    return new HomeEvent.RecordUnavailable(String.valueOf(decoded));
  }

  private static SwapResult toSwapResult(ConditionalWriteResult result) {
    if (result instanceof ConditionalWriteResult.Applied applied) {
      return new SwapResult.Applied(applied.revision());
    }
    if (result instanceof ConditionalWriteResult.Conflict conflict) {
      return new SwapResult.Conflict(decodeOrNull(conflict.current()));
    }
    return new SwapResult.Unsettled(String.valueOf(result));
  }

  /** Returns the decoded record; null if there is none or it cannot be decoded. */
  private static @Nullable StoredRecord decodeOrNull(List<KeyValueEntry> entries) {
    if (entries.isEmpty()) {
      return null;
    }
    KeyValueEntry entry = entries.get(0);
    return GroupRecordCodec.decode(entry.key(), entry.value()) instanceof GroupRecordCodec.Decoded d
        ? new StoredRecord(d.record(), entry.modRevision())
        : null;
  }
}

package org.chicorylane.internal.instance;

import io.netty.util.concurrent.EventExecutor;
import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.chicorylane.internal.declaration.DeclarationReader;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.jspecify.annotations.Nullable;

/** Reads the declarations from the key-value service at an interval. Thread-safe. */
final class DeclarationPoller implements AutoCloseable {
  static final String PREFIX = "/chicorylane/declarations/";
  private static final Duration INTERVAL = Duration.ofMillis(500);

  private final KeyValueStore store;
  private final EventExecutor executor;
  private volatile Declarations current = Declarations.EMPTY;
  private @Nullable ScheduledFuture<?> polling;

  DeclarationPoller(KeyValueStore store, EventExecutor executor) {
    this.store = store;
    this.executor = executor;
  }

  void start(Consumer<Declarations> listener) {
    polling =
        executor.scheduleAtFixedRate(
            () -> store.range(PREFIX).thenAcceptAsync(r -> accept(r, listener), executor),
            0,
            INTERVAL.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  Declarations current() {
    return current;
  }

  @Override
  public void close() {
    if (polling != null) {
      polling.cancel(false);
    }
  }

  private void accept(ReadResult result, Consumer<Declarations> listener) {
    if (!(result instanceof ReadResult.Read read)) {
      return;
    }
    long revision = read.entries().stream().mapToLong(KeyValueEntry::modRevision).max().orElse(0);
    if (revision <= current.revision()) {
      return;
    }
    current =
        DeclarationReader.assembleLenient(
                revision, read.entries().stream().map(KeyValueEntry::value).toList())
            .declarations();
    listener.accept(current);
  }
}

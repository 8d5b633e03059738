package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.List;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.platform.WatchListener;
import org.chicorylane.internal.runtime.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * Keeps up with all keys under a prefix: reads them whole, then watches, and reads them whole again
 * when the store's history was lost.
 *
 * <p>Confined to the instance's thread.
 */
final class PrefixFollower {

  /** Takes what the store holds. */
  interface Listener {
    /** These are all entries at one time. */
    void onAll(List<KeyValueEntry> entries);

    /** An entry was written, or removed if {@code deleted}. */
    void onChange(KeyValueEntry entry, boolean deleted);
  }

  /** Pause before a read that failed is sent again. */
  private static final Duration RETRY = Duration.ofMillis(250);

  private final KeyValueStore store;
  private final String prefix;
  private final Scheduler scheduler;
  private final Listener listener;
  private KeyValueStore.@Nullable Watch watch;
  private boolean reading;

  PrefixFollower(KeyValueStore store, String prefix, Scheduler scheduler, Listener listener) {
    this.store = store;
    this.prefix = prefix;
    this.scheduler = scheduler;
    this.listener = listener;
  }

  /** Reads everything, now and until it succeeds, and watches from there. */
  void start() {
    if (reading) {
      return;
    }
    reading = true;
    store
        .range(prefix)
        .thenAccept(
            result -> {
              reading = false;
              if (result instanceof ReadResult.Read read) {
                listener.onAll(read.entries());
                // Other answers that are there already come before the call for changes.
                scheduler.schedule(Duration.ZERO, () -> follow(read.revision()));
              } else {
                scheduler.schedule(RETRY, this::start);
              }
            });
  }

  private void follow(long revision) {
    if (watch != null) {
      watch.close();
    }
    watch =
        store.watch(
            prefix,
            revision + 1,
            new WatchListener() {
              @Override
              public void onChanges(List<Change> changes, long reached) {
                changes.forEach(c -> listener.onChange(c.entry(), c.deleted()));
              }

              @Override
              public void onHistoryLost() {
                start();
              }
            });
  }
}

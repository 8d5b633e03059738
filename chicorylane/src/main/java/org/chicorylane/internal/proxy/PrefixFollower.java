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
 * Follows all keys under a prefix: reads them all, then watches for changes, and reads them all
 * again if the store no longer has the history that the watch needs.
 *
 * <p>Confined to the instance's thread.
 */
final class PrefixFollower {

  /** Receives the entries under the prefix. */
  interface Listener {
    /** Called with all entries as of one revision; they replace what was reported before. */
    void onAll(List<KeyValueEntry> entries);

    /** Called when an entry was written, or removed if {@code deleted}. */
    void onChange(KeyValueEntry entry, boolean deleted);
  }

  /** Delay before a failed read is sent again. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

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

  /**
   * Reads all entries, with retries until a read succeeds, and watches from that revision. Does
   * nothing while a read is in progress.
   */
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
                // Lets answers that have already arrived be handled before the watch is requested.
                scheduler.schedule(Duration.ZERO, () -> watchFrom(read.revision()));
              } else {
                scheduler.schedule(RETRY_DELAY, this::start);
              }
            });
  }

  private void watchFrom(long revision) {
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

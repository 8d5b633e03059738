package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
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

  /**
   * Delay before a failed read is sent again; doubled after each failure once entries are known, as
   * the instance can serve with those.
   */
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  private static final Duration MAXIMUM_RETRY_DELAY = Duration.ofSeconds(1);

  private final KeyValueStore store;
  private final BooleanSupplier storeUnavailable;
  private final String prefix;
  private final Scheduler scheduler;
  private final Listener listener;
  private KeyValueStore.@Nullable Watch watch;
  private boolean reading;

  /** Whether the entries have been read at least once. */
  private boolean loaded;

  /**
   * Creates a follower that is inactive until {@link #start()}.
   *
   * @param storeUnavailable returns whether this instance's last call to the store failed
   */
  PrefixFollower(
      KeyValueStore store,
      BooleanSupplier storeUnavailable,
      String prefix,
      Scheduler scheduler,
      Listener listener) {
    this.store = store;
    this.storeUnavailable = storeUnavailable;
    this.prefix = prefix;
    this.scheduler = scheduler;
    this.listener = listener;
  }

  /**
   * Reads all entries, with retries until a read succeeds, and watches from that revision. Does
   * nothing while a read is in progress or a retry is due.
   */
  void start() {
    if (!reading) {
      reading = true;
      read(RETRY_DELAY);
    }
  }

  private void read(Duration retryDelay) {
    store
        .range(prefix)
        .thenAccept(
            result -> {
              if (result instanceof ReadResult.Read read) {
                reading = false;
                loaded = true;
                listener.onAll(read.entries());
                // Lets answers that have already arrived be handled before the watch is requested.
                scheduler.schedule(Duration.ZERO, () -> watchFrom(read.revision()));
              } else {
                scheduler.schedule(retryDelay, () -> read(nextDelay(retryDelay)));
              }
            });
  }

  private Duration nextDelay(Duration delay) {
    if (!loaded) {
      return RETRY_DELAY;
    }
    Duration doubled = delay.multipliedBy(2);
    return doubled.compareTo(MAXIMUM_RETRY_DELAY) < 0 ? doubled : MAXIMUM_RETRY_DELAY;
  }

  private void watchFrom(long revision) {
    if (watch != null && storeUnavailable.getAsBoolean()) {
      // The read came through another instance; the open watch continues when the store returns.
      return;
    }
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
                watch = null;
                start();
              }
            });
  }
}

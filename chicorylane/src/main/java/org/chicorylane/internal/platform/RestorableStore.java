package org.chicorylane.internal.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/**
 * A client of a key-value store that may be restored from an older copy. It notices the change of
 * {@linkplain StoreEra era} in any answer and withholds what no longer holds:
 *
 * <ul>
 *   <li>a read that was answered in an earlier era is reported as unavailable;
 *   <li>a transaction that expects a revision of an earlier era is a conflict and is not sent;
 *   <li>a transaction that took effect in another era than its expected revisions, or in an earlier
 *       one, is reported as one that may have been applied;
 *   <li>a watch that began in an earlier era loses its history.
 * </ul>
 *
 * <p>Confined to the thread on which the underlying store completes its futures.
 */
public final class RestorableStore implements KeyValueStore {

  private final KeyValueStore store;
  private final LongSupplier nanoTime;
  private final LongSupplier waitNanoTime;
  private final Runnable onRestored;
  private final RevisionTimes revisionTimes = new RevisionTimes();
  private final List<EraWatch> watches = new ArrayList<>();

  /** The newest era seen; meaningless until {@link #eraKnown}. */
  private long era;

  private boolean eraKnown;

  /** Time at which {@link #era} was first seen; meaningless until {@link #eraKnown}. */
  private long eraSeenNanos;

  /**
   * Creates a client.
   *
   * @param store the store, whose revisions are qualified
   * @param nanoTime the clock by which calls are timed, in nanoseconds
   * @param waitNanoTime the clock by which the end of an earlier era is waited for, in nanoseconds
   * @param onRestored called when the era has risen, before any result of the new era is delivered;
   *     called again when a write of this client took effect on a revision of the new era that the
   *     client had expected from an earlier one
   */
  public RestorableStore(
      KeyValueStore store, LongSupplier nanoTime, LongSupplier waitNanoTime, Runnable onRestored) {
    this.store = store;
    this.nanoTime = nanoTime;
    this.waitNanoTime = waitNanoTime;
    this.onRestored = onRestored;
  }

  /** Returns the times of the revisions, as this client's calls tell. */
  public RevisionTimes revisionTimes() {
    return revisionTimes;
  }

  /** Returns the newest era seen, 0 before the first answer. */
  public long era() {
    return era;
  }

  /**
   * Returns the time of the wait clock at which this client first saw the present era, the current
   * time before the first answer. The era began before that.
   */
  public long eraSeenNanos() {
    return eraKnown ? eraSeenNanos : waitNanoTime.getAsLong();
  }

  /** Applies the era of any answer of the store, also of one that reports an error. */
  public void onEra(long seen) {
    if (!eraKnown) {
      eraKnown = true;
      era = seen;
      eraSeenNanos = waitNanoTime.getAsLong();
    } else if (seen > era) {
      era = seen;
      eraSeenNanos = waitNanoTime.getAsLong();
      List<EraWatch> outdated = List.copyOf(watches);
      watches.clear();
      onRestored.run();
      outdated.forEach(EraWatch::onHistoryLost);
    }
  }

  @Override
  public CompletableFuture<ReadResult> get(String key) {
    long sent = nanoTime.getAsLong();
    return store.get(key).thenApply(result -> checkRead(result, sent));
  }

  @Override
  public CompletableFuture<ReadResult> getAt(String key, long revision) {
    return store.getAt(key, revision).thenApply(this::checkEra);
  }

  @Override
  public CompletableFuture<ReadResult> range(String prefix) {
    long sent = nanoTime.getAsLong();
    return store.range(prefix).thenApply(result -> checkRead(result, sent));
  }

  private ReadResult checkRead(ReadResult result, long sentNanos) {
    ReadResult checked = checkEra(result);
    // Revision 0 stands for an answer that does not tell its revision.
    if (checked instanceof ReadResult.Read read && StoreEra.revisionOf(read.revision()) > 0) {
      revisionTimes.onAnswer(sentNanos, read.revision());
    }
    return checked;
  }

  private ReadResult checkEra(ReadResult result) {
    if (!(result instanceof ReadResult.Read read)) {
      return result;
    }
    long answered = StoreEra.of(read.revision());
    onEra(answered);
    return answered < era
        ? new ReadResult.Unavailable("the store was restored after it had answered")
        : result;
  }

  @Override
  public CompletableFuture<WriteResult> transact(StoreTransaction transaction) {
    boolean outdated =
        transaction.conditions().stream()
            .anyMatch(c -> expectsRevision(c) && StoreEra.of(c.expectedModRevision()) < era);
    if (outdated) {
      return CompletableFuture.completedFuture(
          new WriteResult.Conflict(List.of(), StoreEra.qualify(era, 0)));
    }
    return store.transact(transaction).thenApply(result -> checkWrite(transaction, result));
  }

  private WriteResult checkWrite(StoreTransaction transaction, WriteResult result) {
    if (result instanceof WriteResult.Conflict conflict) {
      onEra(StoreEra.of(conflict.revision()));
      return StoreEra.of(conflict.revision()) < era
          ? new WriteResult.Unavailable("the store was restored after it had answered", false)
          : result;
    }
    if (!(result instanceof WriteResult.Applied applied)) {
      return result;
    }
    long answered = StoreEra.of(applied.revision());
    onEra(answered);
    if (answered < era) {
      return new WriteResult.Unavailable("the store was restored after the write", true);
    }
    boolean expectedOtherEra =
        transaction.conditions().stream()
            .anyMatch(c -> expectsRevision(c) && StoreEra.of(c.expectedModRevision()) != answered);
    if (expectedOtherEra) {
      // It may have replaced a record of the new era, whose holder then cannot be known.
      eraSeenNanos = waitNanoTime.getAsLong();
      onRestored.run();
      return new WriteResult.Unavailable("the store was restored before the write", true);
    }
    return result;
  }

  private static boolean expectsRevision(StoreTransaction.Condition condition) {
    return condition.expectedModRevision() > 0;
  }

  @Override
  public Watch watch(String prefix, long fromRevision, WatchListener listener) {
    EraWatch watch = new EraWatch(listener);
    onEra(StoreEra.of(fromRevision));
    if (StoreEra.of(fromRevision) < era) {
      listener.onHistoryLost();
      return watch;
    }
    watches.add(watch);
    watch.inner = store.watch(prefix, fromRevision, watch);
    if (watch.closed) {
      watch.inner.close();
    }
    return watch;
  }

  @Override
  public void close() {
    store.close();
  }

  /** A watch that ends when the era changes. */
  private final class EraWatch implements Watch, WatchListener {
    private final WatchListener listener;
    private Watch inner = () -> {};
    private boolean closed;

    EraWatch(WatchListener listener) {
      this.listener = listener;
    }

    @Override
    public void onChanges(List<Change> changes, long revision) {
      onEra(StoreEra.of(revision));
      if (!closed) {
        listener.onChanges(changes, revision);
      }
    }

    @Override
    public void onHistoryLost() {
      if (!closed) {
        close();
        listener.onHistoryLost();
      }
    }

    @Override
    public void close() {
      closed = true;
      watches.remove(this);
      inner.close();
    }
  }
}

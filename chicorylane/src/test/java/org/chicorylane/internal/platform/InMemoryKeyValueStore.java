package org.chicorylane.internal.platform;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.chicorylane.standin.platform.KeyRange;
import org.chicorylane.standin.platform.KeyValueEngine;
import org.chicorylane.standin.platform.KeyValueEngine.RefusedException;

/**
 * A fake key-value store in memory that can inject faults. Every future is already complete when it
 * is returned.
 */
public final class InMemoryKeyValueStore implements KeyValueStore {

  private final KeyValueEngine engine = new KeyValueEngine(InstantSource.system());
  private boolean down;
  private int answersToLose;
  private int requestsToLose;
  private long calls;
  private long era;
  private final List<OpenWatch> openWatches = new ArrayList<>();

  /** Makes all reads and writes return {@code Unavailable} while set; open watches continue. */
  public synchronized void setDown(boolean newDown) {
    down = newDown;
  }

  /** Loses the answers to the next {@code count} writes, which take effect. */
  public synchronized void loseNextAnswers(int count) {
    answersToLose = count;
  }

  /** Loses the next {@code count} writes, which do not take effect; the writer cannot tell. */
  public synchronized void loseNextRequests(int count) {
    requestsToLose = count;
  }

  /** Returns the number of reads, writes and watches so far. */
  public synchronized long calls() {
    return calls;
  }

  /** Returns the store's era, which rises with each restore; 0 before the first one. */
  public synchronized long era() {
    return era;
  }

  /**
   * Replaces the content by a copy that was taken earlier and raises the era. Open watches report
   * nothing until {@link #reopenWatches()}.
   */
  public synchronized void restore(KeyValueEngine.Copy copy) {
    engine.restore(copy);
    era++;
  }

  /** Continues the watches that a restore has cut, each from the revision that it had reached. */
  public synchronized void reopenWatches() {
    List.copyOf(openWatches).forEach(OpenWatch::open);
  }

  public KeyValueEngine engine() {
    return engine;
  }

  @Override
  public CompletableFuture<ReadResult> get(String key) {
    return read(KeyRange.single(key), 0);
  }

  @Override
  public CompletableFuture<ReadResult> getAt(String key, long revision) {
    return read(KeyRange.single(key), revision);
  }

  @Override
  public CompletableFuture<ReadResult> range(String prefix) {
    return read(KeyRange.prefix(prefix), 0);
  }

  @Override
  public synchronized CompletableFuture<WriteResult> transact(StoreTransaction transaction) {
    calls++;
    return CompletableFuture.completedFuture(write(transaction));
  }

  @Override
  public synchronized Watch watch(String prefix, long fromRevision, WatchListener listener) {
    calls++;
    OpenWatch watch = new OpenWatch(prefix, StoreEra.revisionOf(fromRevision) - 1, listener);
    watch.open();
    return watch;
  }

  /** A watch that continues, as long polling does, after it was cut. */
  private final class OpenWatch implements Watch {
    private final String prefix;
    private final WatchListener listener;
    private long reached;
    private KeyValueEngine.Watch engineWatch = () -> {};

    OpenWatch(String prefix, long reached, WatchListener listener) {
      this.prefix = prefix;
      this.reached = reached;
      this.listener = listener;
    }

    void open() {
      engineWatch.cancel();
      openWatches.remove(this);
      if (reached > engine.revision()) {
        listener.onHistoryLost();
        return;
      }
      try {
        openWatches.add(this);
        engineWatch = engine.watch(KeyRange.prefix(prefix), reached + 1, this::deliver);
      } catch (RefusedException e) {
        openWatches.remove(this);
        listener.onHistoryLost();
      }
    }

    private void deliver(long revision, List<KeyValueEngine.Entry> events) {
      reached = revision;
      listener.onChanges(toChanges(events), StoreEra.qualify(era, revision));
    }

    @Override
    public void close() {
      engineWatch.cancel();
      openWatches.remove(this);
    }
  }

  @Override
  public void close() {}

  private synchronized CompletableFuture<ReadResult> read(KeyRange keys, long revision) {
    calls++;
    if (down) {
      return CompletableFuture.completedFuture(new ReadResult.Unavailable("down"));
    }
    try {
      List<KeyValueEntry> entries =
          engine.range(keys, StoreEra.revisionOf(revision)).stream().map(this::toEntry).toList();
      return CompletableFuture.completedFuture(
          new ReadResult.Read(entries, StoreEra.qualify(era, engine.revision())));
    } catch (RefusedException e) {
      return CompletableFuture.completedFuture(new ReadResult.Refused(e.getMessage()));
    }
  }

  private WriteResult write(StoreTransaction transaction) {
    if (down) {
      return new WriteResult.Unavailable("down", false);
    }
    if (requestsToLose > 0) {
      requestsToLose--;
      return new WriteResult.Unavailable("request lost", true);
    }
    WriteResult result = apply(transaction);
    if (answersToLose > 0) {
      answersToLose--;
      return new WriteResult.Unavailable("answer lost", true);
    }
    return result;
  }

  private WriteResult apply(StoreTransaction transaction) {
    List<KeyValueEngine.Compare> compares = new ArrayList<>();
    List<KeyValueEngine.Operation> reads = new ArrayList<>();
    for (StoreTransaction.Condition c : transaction.conditions()) {
      compares.add(
          new KeyValueEngine.Compare(
              c.key(),
              KeyValueEngine.Target.MOD,
              KeyValueEngine.Relation.EQUAL,
              StoreEra.revisionOf(c.expectedModRevision()),
              ""));
      reads.add(new KeyValueEngine.Range(KeyRange.single(c.key()), 0));
    }
    List<KeyValueEngine.Operation> writes =
        transaction.operations().stream().map(InMemoryKeyValueStore::toOperation).toList();
    try {
      KeyValueEngine.TransactionResult result = engine.transact(compares, writes, reads);
      if (result.succeeded()) {
        return new WriteResult.Applied(StoreEra.qualify(era, result.revision()));
      }
      List<KeyValueEntry> current =
          result.results().stream().flatMap(r -> r.entries().stream()).map(this::toEntry).toList();
      return new WriteResult.Conflict(current, StoreEra.qualify(era, result.revision()));
    } catch (RefusedException e) {
      return new WriteResult.Refused(e.getMessage());
    }
  }

  private static KeyValueEngine.Operation toOperation(StoreTransaction.Operation operation) {
    if (operation instanceof StoreTransaction.Put put) {
      return new KeyValueEngine.Put(put.key(), put.value(), 0);
    }
    StoreTransaction.Delete delete = (StoreTransaction.Delete) operation;
    return new KeyValueEngine.Delete(KeyRange.single(delete.key()));
  }

  private List<WatchListener.Change> toChanges(List<KeyValueEngine.Entry> events) {
    return events.stream().map(e -> new WatchListener.Change(toEntry(e), e.isDeletion())).toList();
  }

  private KeyValueEntry toEntry(KeyValueEngine.Entry e) {
    return new KeyValueEntry(e.key(), e.value(), StoreEra.qualify(era, e.modRevision()));
  }
}

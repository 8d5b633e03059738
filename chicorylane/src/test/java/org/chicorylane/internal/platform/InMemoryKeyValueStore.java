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
    try {
      return engine.watch(
              KeyRange.prefix(prefix),
              fromRevision,
              (revision, events) -> listener.onChanges(toChanges(events), revision))
          ::cancel;
    } catch (RefusedException e) {
      listener.onHistoryLost();
      return () -> {};
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
          engine.range(keys, revision).stream().map(InMemoryKeyValueStore::toEntry).toList();
      return CompletableFuture.completedFuture(new ReadResult.Read(entries, engine.revision()));
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
              c.expectedModRevision(),
              ""));
      reads.add(new KeyValueEngine.Range(KeyRange.single(c.key()), 0));
    }
    List<KeyValueEngine.Operation> writes =
        transaction.operations().stream().map(InMemoryKeyValueStore::toOperation).toList();
    try {
      KeyValueEngine.TransactionResult result = engine.transact(compares, writes, reads);
      if (result.succeeded()) {
        return new WriteResult.Applied(result.revision());
      }
      List<KeyValueEntry> current =
          result.results().stream()
              .flatMap(r -> r.entries().stream())
              .map(InMemoryKeyValueStore::toEntry)
              .toList();
      return new WriteResult.Conflict(current, result.revision());
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

  private static List<WatchListener.Change> toChanges(List<KeyValueEngine.Entry> events) {
    return events.stream().map(e -> new WatchListener.Change(toEntry(e), e.deletion())).toList();
  }

  private static KeyValueEntry toEntry(KeyValueEngine.Entry e) {
    return new KeyValueEntry(e.key(), e.value(), e.modRevision());
  }
}

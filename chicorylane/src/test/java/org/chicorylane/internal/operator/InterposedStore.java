package org.chicorylane.internal.operator;

import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.platform.StoreTransaction;
import org.chicorylane.internal.platform.WatchListener;
import org.chicorylane.internal.platform.WriteResult;

/** A store in which another operator may come first, once. */
final class InterposedStore implements KeyValueStore {
  private final KeyValueStore store;
  private Runnable beforeNextWrite = () -> {};

  InterposedStore(KeyValueStore store) {
    this.store = store;
  }

  /** Has {@code work} done between the next write's decision and its effect. */
  void beforeNextWrite(Runnable work) {
    beforeNextWrite = work;
  }

  @Override
  public CompletableFuture<WriteResult> transact(StoreTransaction transaction) {
    Runnable work = beforeNextWrite;
    beforeNextWrite = () -> {};
    work.run();
    return store.transact(transaction);
  }

  @Override
  public CompletableFuture<ReadResult> get(String key) {
    return store.get(key);
  }

  @Override
  public CompletableFuture<ReadResult> getAt(String key, long revision) {
    return store.getAt(key, revision);
  }

  @Override
  public CompletableFuture<ReadResult> range(String prefix) {
    return store.range(prefix);
  }

  @Override
  public Watch watch(String prefix, long fromRevision, WatchListener listener) {
    return store.watch(prefix, fromRevision, listener);
  }

  @Override
  public void close() {}
}

package org.chicorylane.internal.operator;

import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.platform.StoreTransaction;
import org.chicorylane.internal.platform.WatchListener;
import org.chicorylane.internal.platform.WriteResult;

/** A store that can run another write just before the next one, as a concurrent operator would. */
final class InterceptingStore implements KeyValueStore {
  private final KeyValueStore store;
  private Runnable beforeNextWrite = () -> {};

  InterceptingStore(KeyValueStore store) {
    this.store = store;
  }

  /** Runs {@code write} once, after the next write was planned and before it is sent. */
  void beforeNextWrite(Runnable write) {
    beforeNextWrite = write;
  }

  @Override
  public CompletableFuture<WriteResult> transact(StoreTransaction transaction) {
    Runnable write = beforeNextWrite;
    beforeNextWrite = () -> {};
    write.run();
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

package org.chicorylane.internal.platform;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service.
 *
 * <pre>{@code
 * store.compareAndSwap(key, seen.modRevision(), newValue).thenAccept(result -> {
 *   if (result instanceof WriteResult.Conflict conflict) {
 *     decideAgain(conflict.current());
 *   }
 * });
 * }</pre>
 *
 * <p>Implementations are thread-safe. The futures always complete normally, within the client's
 * timeout; failures are results. Continuations run on the client's threads and must not block.
 */
public interface KeyValueStore extends AutoCloseable {

  /** Reads one key. */
  CompletableFuture<ReadResult> get(String key);

  /** Reads one key as it was at {@code revision}, which the store may have dropped. */
  CompletableFuture<ReadResult> getAt(String key, long revision);

  /** Reads all keys that begin with {@code prefix}, which must not be empty. */
  CompletableFuture<ReadResult> range(String prefix);

  /** Writes several keys together if all conditions hold. */
  CompletableFuture<WriteResult> transact(StoreTransaction transaction);

  /**
   * Reports the changes of all keys that begin with {@code prefix}, from {@code fromRevision} on,
   * through outages and silent connections, until closed.
   *
   * @param fromRevision the first revision of interest, at least 1
   */
  Watch watch(String prefix, long fromRevision, WatchListener listener);

  /** Releases connections and ends watches; later calls are unavailable. */
  @Override
  void close();

  /**
   * Writes {@code key} if it was last changed at {@code expectedModRevision}.
   *
   * @param expectedModRevision the revision seen; 0 expects the key to be absent
   */
  default CompletableFuture<WriteResult> compareAndSwap(
      String key, long expectedModRevision, String value) {
    return transact(
        StoreTransaction.builder().expect(key, expectedModRevision).put(key, value).build());
  }

  /** Deletes {@code key} if it was last changed at {@code expectedModRevision}. */
  default CompletableFuture<WriteResult> compareAndDelete(String key, long expectedModRevision) {
    return transact(
        StoreTransaction.builder().expect(key, expectedModRevision).delete(key).build());
  }

  /** A watch that is running. */
  interface Watch extends AutoCloseable {
    /** Ends the watch; no further call reaches the listener once this returned. */
    @Override
    void close();
  }
}

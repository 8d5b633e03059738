package org.chicorylane.internal.platform;

import java.util.concurrent.CompletableFuture;

/**
 * A client of the platform's key-value service, which offers reads, conditional transactions and
 * watches over revisions.
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
 * timeout; a failure is reported as a result. Continuations run on the client's threads and must
 * not block.
 */
public interface KeyValueStore extends AutoCloseable {

  /** Reads one key. */
  CompletableFuture<ReadResult> get(String key);

  /** Reads one key as it was at {@code revision}, which the store may have compacted already. */
  CompletableFuture<ReadResult> getAt(String key, long revision);

  /** Reads all keys that begin with {@code prefix}, which must not be empty. */
  CompletableFuture<ReadResult> range(String prefix);

  /** Writes several keys atomically if all conditions hold. */
  CompletableFuture<WriteResult> transact(StoreTransaction transaction);

  /**
   * Watches all keys that begin with {@code prefix}, from {@code fromRevision} on, until closed.
   * The watch continues after outages and unresponsive connections.
   *
   * @param fromRevision the first revision to report, at least 1
   */
  Watch watch(String prefix, long fromRevision, WatchListener listener);

  /** Releases connections and ends watches. Later calls return {@code Unavailable}. */
  @Override
  void close();

  /**
   * Writes {@code key} if it was last changed at {@code expectedModRevision}.
   *
   * @param expectedModRevision the revision that the caller has read; 0 expects the key to be
   *     absent
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

  /** A running watch. */
  interface Watch extends AutoCloseable {
    /** Ends the watch. No call reaches the listener after this method has returned. */
    @Override
    void close();
  }
}

package org.chicorylane.internal.platform;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Performs conditional writes (compare-and-swap) and determines their outcome when an answer is
 * lost: it reads the written key back and looks for the writer's unique id in the current value and
 * in earlier ones.
 *
 * <pre>{@code
 * String id = newUniqueId();
 * writer.swap(key, entry.modRevision(), recordWith(id), id).thenAccept(this::onResult);
 * }</pre>
 *
 * <p>A write never takes effect twice, and one that took effect is never reported as a conflict.
 * While the outcome is unknown, the write is sent again only if one of its conditions expects a
 * revision other than 0 of a key that it writes itself, because such a condition holds at most
 * once. A write that only expects absent keys could succeed a second time after another client
 * deletes them, so it is not sent again; its result is {@code Unsettled} unless its id is found. A
 * transaction that also expects and writes a key that is never deleted always gets a definite
 * result once the store answers.
 *
 * <p>Thread-safe.
 */
public final class ConditionalWriter {

  private static final int MAX_ATTEMPTS = 6;

  /** The number of values of a key, the current one included, searched for the writer's id. */
  private static final int MAX_HISTORY_STEPS = 32;

  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  private final KeyValueStore store;
  private final Function<Duration, CompletableFuture<Void>> delayer;

  /**
   * Creates a writer.
   *
   * @param delayer returns a future that completes normally after the given time
   */
  public ConditionalWriter(
      KeyValueStore store, Function<Duration, CompletableFuture<Void>> delayer) {
    this.store = store;
    this.delayer = delayer;
  }

  /**
   * Writes {@code key} if it was last changed at {@code expectedModRevision}; 0 expects the key to
   * be absent.
   *
   * @param writerId a globally unique id that {@code value} must contain and no other value ever
   *     does
   * @throws IllegalArgumentException if {@code value} does not contain {@code writerId}
   */
  public CompletableFuture<ConditionalWriteResult> swap(
      String key, long expectedModRevision, String value, String writerId) {
    return transact(
        StoreTransaction.builder().expect(key, expectedModRevision).put(key, value).build(),
        writerId);
  }

  /**
   * Runs {@code transaction} so that it takes effect at most once.
   *
   * @param writerId a globally unique id that a value of a put must contain and no other value ever
   *     does
   * @throws IllegalArgumentException if no value of a put contains {@code writerId}
   */
  public CompletableFuture<ConditionalWriteResult> transact(
      StoreTransaction transaction, String writerId) {
    String markedKey =
        transaction.operations().stream()
            .filter(StoreTransaction.Put.class::isInstance)
            .map(StoreTransaction.Put.class::cast)
            .filter(put -> put.value().contains(writerId))
            .map(StoreTransaction.Put::key)
            .max(Comparator.comparingLong(transaction::expectedRevisionOf))
            .orElseThrow(
                () ->
                    new IllegalArgumentException(
                        "no value of a put contains the writer id " + writerId));
    return new PendingWrite(transaction, writerId, markedKey).attempt(1, false);
  }

  /** Whether the writer's id was found in the history of the key. */
  private enum Finding {
    WRITTEN,
    NOT_WRITTEN,
    UNREADABLE,
    HISTORY_MISSING
  }

  private record SearchResult(Finding finding, long revision) {}

  /** One write, sent and looked up until its outcome is determined or the attempts are used up. */
  private final class PendingWrite {

    private final StoreTransaction transaction;
    private final String writerId;
    private final String markedKey;
    private final long expectedRevision;
    private final boolean repeatable;

    PendingWrite(StoreTransaction transaction, String writerId, String markedKey) {
      this.transaction = transaction;
      this.writerId = writerId;
      this.markedKey = markedKey;
      this.expectedRevision = transaction.expectedRevisionOf(markedKey);
      this.repeatable =
          transaction.operations().stream()
              .map(PendingWrite::keyOf)
              .anyMatch(key -> transaction.expectedRevisionOf(key) > 0);
    }

    private static String keyOf(StoreTransaction.Operation operation) {
      return operation instanceof StoreTransaction.Put put
          ? put.key()
          : ((StoreTransaction.Delete) operation).key();
    }

    /**
     * Sends the write.
     *
     * @param attemptNumber the number of this attempt, from 1 to {@link #MAX_ATTEMPTS}
     * @param inDoubt whether an earlier attempt may have taken effect
     */
    CompletableFuture<ConditionalWriteResult> attempt(int attemptNumber, boolean inDoubt) {
      return store
          .transact(transaction)
          .thenCompose(result -> onResult(result, attemptNumber, inDoubt));
    }

    private CompletableFuture<ConditionalWriteResult> onResult(
        WriteResult result, int attemptNumber, boolean inDoubt) {
      if (result instanceof WriteResult.Applied applied) {
        return completed(new ConditionalWriteResult.Applied(applied.revision()));
      }
      if (result instanceof WriteResult.Refused refused) {
        return inDoubt
            ? checkOutcome(attemptNumber, refused.reason())
            : completed(new ConditionalWriteResult.Refused(refused.reason()));
      }
      if (result instanceof WriteResult.Conflict conflict) {
        ConditionalWriteResult conflictResult =
            new ConditionalWriteResult.Conflict(conflict.current());
        return inDoubt ? confirmConflict(conflictResult, attemptNumber) : completed(conflictResult);
      }
      WriteResult.Unavailable unavailable = (WriteResult.Unavailable) result;
      return inDoubt || unavailable.mayHaveApplied()
          ? pause().thenCompose(v -> checkOutcome(attemptNumber, unavailable.reason()))
          : retry(attemptNumber, unavailable.reason(), () -> attempt(attemptNumber + 1, false));
    }

    /** Returns {@code conflict} unless an earlier attempt turns out to have taken effect. */
    private CompletableFuture<ConditionalWriteResult> confirmConflict(
        ConditionalWriteResult conflict, int attemptNumber) {
      return searchHistory(0, 0)
          .thenCompose(
              search ->
                  switch (search.finding()) {
                    case WRITTEN ->
                        completed(new ConditionalWriteResult.Applied(search.revision()));
                    case NOT_WRITTEN -> completed(conflict);
                    case HISTORY_MISSING -> historyMissing();
                    case UNREADABLE ->
                        retry(
                            attemptNumber,
                            "the store is unreachable",
                            () -> confirmConflict(conflict, attemptNumber + 1));
                  });
    }

    /** Looks for the write after a lost answer, and sends it again if that is safe. */
    private CompletableFuture<ConditionalWriteResult> checkOutcome(
        int attemptNumber, String reason) {
      return searchHistory(0, 0)
          .thenCompose(
              search ->
                  switch (search.finding()) {
                    case WRITTEN ->
                        completed(new ConditionalWriteResult.Applied(search.revision()));
                    case HISTORY_MISSING -> historyMissing();
                    case NOT_WRITTEN ->
                        repeatable
                            ? retry(attemptNumber, reason, () -> attempt(attemptNumber + 1, true))
                            : retry(
                                attemptNumber,
                                reason,
                                () -> checkOutcome(attemptNumber + 1, reason));
                    case UNREADABLE ->
                        retry(attemptNumber, reason, () -> checkOutcome(attemptNumber + 1, reason));
                  });
    }

    private CompletableFuture<ConditionalWriteResult> retry(
        int attemptNumber,
        String reason,
        Supplier<CompletableFuture<ConditionalWriteResult>> next) {
      return attemptNumber >= MAX_ATTEMPTS
          ? completed(new ConditionalWriteResult.Unsettled(reason))
          : pause().thenCompose(v -> next.get());
    }

    /** Reads the key at a revision, 0 being the current one, and continues to earlier values. */
    private CompletableFuture<SearchResult> searchHistory(long atRevision, int historyStep) {
      CompletableFuture<ReadResult> read =
          atRevision == 0 ? store.get(markedKey) : store.getAt(markedKey, atRevision);
      return read.thenCompose(result -> examine(result, historyStep));
    }

    private CompletableFuture<SearchResult> examine(ReadResult result, int historyStep) {
      if (result instanceof ReadResult.Unavailable) {
        return CompletableFuture.completedFuture(new SearchResult(Finding.UNREADABLE, 0));
      }
      if (!(result instanceof ReadResult.Read read) || historyStep >= MAX_HISTORY_STEPS) {
        return CompletableFuture.completedFuture(new SearchResult(Finding.HISTORY_MISSING, 0));
      }
      Optional<KeyValueEntry> entry = read.first();
      if (entry.isEmpty()) {
        Finding finding = expectedRevision == 0 ? Finding.NOT_WRITTEN : Finding.HISTORY_MISSING;
        return CompletableFuture.completedFuture(new SearchResult(finding, 0));
      }
      long revision = entry.get().modRevision();
      if (entry.get().value().contains(writerId)) {
        // In another era the expected revision may have stood for another content.
        boolean expectedContent =
            expectedRevision == 0 || StoreEra.of(revision) == StoreEra.of(expectedRevision);
        Finding finding = expectedContent ? Finding.WRITTEN : Finding.HISTORY_MISSING;
        return CompletableFuture.completedFuture(new SearchResult(finding, revision));
      }
      return revision <= Math.max(expectedRevision, 1)
          ? CompletableFuture.completedFuture(new SearchResult(Finding.NOT_WRITTEN, 0))
          : searchHistory(revision - 1, historyStep + 1);
    }

    private CompletableFuture<ConditionalWriteResult> historyMissing() {
      return completed(
          new ConditionalWriteResult.Unsettled(
              "the history of key " + markedKey + " that would tell is not kept"));
    }

    private CompletableFuture<Void> pause() {
      return delayer.apply(RETRY_DELAY);
    }

    private static CompletableFuture<ConditionalWriteResult> completed(
        ConditionalWriteResult result) {
      return CompletableFuture.completedFuture(result);
    }
  }
}

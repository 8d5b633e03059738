package org.chicorylane.internal.platform;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Conditional writes whose lost answers are settled by reading the written key back and looking for
 * the writer's own unique id in the value, in the present one and in those before it.
 *
 * <pre>{@code
 * String id = newUniqueId();
 * settled.swap(key, seen.modRevision(), recordWith(id), id).thenAccept(this::onSettled);
 * }</pre>
 *
 * <p>A write never takes effect twice and one that took effect is never called a conflict. While
 * the outcome is open the write is sent again only if a condition expects a revision other than 0
 * of a key that it writes itself, since such a condition holds at most once. A write that merely
 * expects absent keys could succeed again after somebody's deletion; it is only looked for, and
 * {@code Unsettled} if it is not found. A transaction that also expects and writes a key that is
 * never deleted always settles once the store answers.
 *
 * <p>Thread-safe.
 */
public final class ConditionalWriter {

  private static final int MAX_ATTEMPTS = 6;
  private static final int MAX_HISTORY_STEPS = 32;
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  private final KeyValueStore store;
  private final Function<Duration, CompletableFuture<Void>> delayer;

  /**
   * Creates a settler.
   *
   * @param delayer returns a future that completes normally after the given time
   */
  public ConditionalWriter(
      KeyValueStore store, Function<Duration, CompletableFuture<Void>> delayer) {
    this.store = store;
    this.delayer = delayer;
  }

  /**
   * Writes {@code key} if it was last changed at {@code expectedModRevision}; 0 expects it absent.
   *
   * @param writerId an id that no other value ever holds; must be part of {@code value}
   * @throws IllegalArgumentException if {@code value} does not contain {@code writerId}
   */
  public CompletableFuture<ConditionalWriteResult> swap(
      String key, long expectedModRevision, String value, String writerId) {
    return transact(
        StoreTransaction.builder().expect(key, expectedModRevision).put(key, value).build(),
        writerId);
  }

  /**
   * Runs {@code transaction} once.
   *
   * @param writerId an id that no other value ever holds; must be part of a value that is put
   * @throws IllegalArgumentException if no value that is put contains {@code writerId}
   */
  public CompletableFuture<ConditionalWriteResult> transact(
      StoreTransaction transaction, String writerId) {
    String evidenceKey =
        transaction.operations().stream()
            .filter(StoreTransaction.Put.class::isInstance)
            .map(StoreTransaction.Put.class::cast)
            .filter(put -> put.value().contains(writerId))
            .map(StoreTransaction.Put::key)
            .max(Comparator.comparingLong(transaction::expectedRevisionOf))
            .orElseThrow(
                () -> new IllegalArgumentException("no value put contains id " + writerId));
    return new Settlement(transaction, writerId, evidenceKey).attempt(1, false);
  }

  private enum Finding {
    WRITTEN,
    NOT_WRITTEN,
    UNREADABLE,
    HISTORY_MISSING
  }

  private record Evidence(Finding finding, long revision) {}

  /** One write on its way to an outcome. */
  private final class Settlement {

    private final StoreTransaction transaction;
    private final String writerId;
    private final String evidenceKey;
    private final long expectedRevision;
    private final boolean repeatable;

    Settlement(StoreTransaction transaction, String writerId, String evidenceKey) {
      this.transaction = transaction;
      this.writerId = writerId;
      this.evidenceKey = evidenceKey;
      this.expectedRevision = transaction.expectedRevisionOf(evidenceKey);
      this.repeatable =
          transaction.operations().stream()
              .map(Settlement::keyOf)
              .anyMatch(key -> transaction.expectedRevisionOf(key) > 0);
    }

    private static String keyOf(StoreTransaction.Operation operation) {
      return operation instanceof StoreTransaction.Put put
          ? put.key()
          : ((StoreTransaction.Delete) operation).key();
    }

    /** Sends the write; {@code doubtful} if an earlier send may have taken effect. */
    CompletableFuture<ConditionalWriteResult> attempt(int number, boolean doubtful) {
      return store.transact(transaction).thenCompose(result -> onResult(result, number, doubtful));
    }

    private CompletableFuture<ConditionalWriteResult> onResult(
        WriteResult result, int number, boolean doubtful) {
      if (result instanceof WriteResult.Applied applied) {
        return done(new ConditionalWriteResult.Applied(applied.revision()));
      }
      if (result instanceof WriteResult.Refused refused) {
        return doubtful
            ? lookBack(number, refused.reason())
            : done(new ConditionalWriteResult.Refused(refused.reason()));
      }
      if (result instanceof WriteResult.Conflict conflict) {
        ConditionalWriteResult settled = new ConditionalWriteResult.Conflict(conflict.current());
        return doubtful ? lookBackAfter(settled, number) : done(settled);
      }
      WriteResult.Unavailable unavailable = (WriteResult.Unavailable) result;
      return doubtful || unavailable.mayHaveApplied()
          ? pause().thenCompose(v -> lookBack(number, unavailable.reason()))
          : retry(number, unavailable.reason(), () -> attempt(number + 1, false));
    }

    private CompletableFuture<ConditionalWriteResult> lookBackAfter(
        ConditionalWriteResult conflict, int number) {
      return findEvidence(0, 0)
          .thenCompose(
              evidence ->
                  switch (evidence.finding()) {
                    case WRITTEN -> done(new ConditionalWriteResult.Applied(evidence.revision()));
                    case NOT_WRITTEN -> done(conflict);
                    case HISTORY_MISSING -> historyMissing();
                    case UNREADABLE ->
                        retry(
                            number,
                            "the store is unreachable",
                            () -> lookBackAfter(conflict, number + 1));
                  });
    }

    private CompletableFuture<ConditionalWriteResult> lookBack(int number, String reason) {
      return findEvidence(0, 0)
          .thenCompose(
              evidence ->
                  switch (evidence.finding()) {
                    case WRITTEN -> done(new ConditionalWriteResult.Applied(evidence.revision()));
                    case HISTORY_MISSING -> historyMissing();
                    case NOT_WRITTEN ->
                        repeatable
                            ? retry(number, reason, () -> attempt(number + 1, true))
                            : retry(number, reason, () -> lookBack(number + 1, reason));
                    case UNREADABLE -> retry(number, reason, () -> lookBack(number + 1, reason));
                  });
    }

    private CompletableFuture<ConditionalWriteResult> retry(
        int number, String reason, Supplier<CompletableFuture<ConditionalWriteResult>> next) {
      return number >= MAX_ATTEMPTS
          ? done(new ConditionalWriteResult.Unsettled(reason))
          : pause().thenCompose(v -> next.get());
    }

    private CompletableFuture<Evidence> findEvidence(long atRevision, int step) {
      CompletableFuture<ReadResult> read =
          atRevision == 0 ? store.get(evidenceKey) : store.getAt(evidenceKey, atRevision);
      return read.thenCompose(result -> judge(result, step));
    }

    private CompletableFuture<Evidence> judge(ReadResult result, int step) {
      if (result instanceof ReadResult.Unavailable) {
        return CompletableFuture.completedFuture(new Evidence(Finding.UNREADABLE, 0));
      }
      if (!(result instanceof ReadResult.Read read) || step >= MAX_HISTORY_STEPS) {
        return CompletableFuture.completedFuture(new Evidence(Finding.HISTORY_MISSING, 0));
      }
      Optional<KeyValueEntry> entry = read.first();
      if (entry.isEmpty()) {
        Finding finding = expectedRevision == 0 ? Finding.NOT_WRITTEN : Finding.HISTORY_MISSING;
        return CompletableFuture.completedFuture(new Evidence(finding, 0));
      }
      long revision = entry.get().modRevision();
      if (entry.get().value().contains(writerId)) {
        return CompletableFuture.completedFuture(new Evidence(Finding.WRITTEN, revision));
      }
      return revision <= Math.max(expectedRevision, 1)
          ? CompletableFuture.completedFuture(new Evidence(Finding.NOT_WRITTEN, 0))
          : findEvidence(revision - 1, step + 1);
    }

    private CompletableFuture<ConditionalWriteResult> historyMissing() {
      return done(
          new ConditionalWriteResult.Unsettled(
              "the history of key " + evidenceKey + " that would tell is not kept"));
    }

    private CompletableFuture<Void> pause() {
      return delayer.apply(RETRY_DELAY);
    }

    private static CompletableFuture<ConditionalWriteResult> done(ConditionalWriteResult result) {
      return CompletableFuture.completedFuture(result);
    }
  }
}

package org.chicorylane.internal.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.chicorylane.internal.admission.WaitEstimator.Prediction;
import org.chicorylane.internal.outcome.NotRunReason;
import org.jspecify.annotations.Nullable;

/**
 * Decides which tickets are refused and when their callers should retry.
 *
 * <p>A ticket is queued only if twice its predicted wait still meets its deadline, so that nearly
 * all refusals are immediate and few tickets are refused after a wait. Not thread-safe.
 */
final class RefusalPolicy {
  private static final int WAIT_SAFETY_FACTOR = 2;
  private static final Duration MIN_JITTER = Duration.ofMillis(10);

  private final AdmissionSettings settings;
  private final WaitEstimator estimator;
  private final RandomGenerator random;
  private final RetryBudget retryBudget = new RetryBudget();
  private @Nullable String primary;
  private @Nullable Instant expectedPrimary;
  private boolean draining;

  RefusalPolicy(AdmissionSettings settings, WaitEstimator estimator, RandomGenerator random) {
    this.settings = settings;
    this.estimator = estimator;
    this.random = random;
  }

  /** Sets the primary, null if there is none, and when one is expected, null if unknown. */
  void setPrimary(@Nullable String server, @Nullable Instant expected) {
    primary = server;
    expectedPrimary = expected;
  }

  /** Refuses all tickets that arrive from now on. */
  void setDraining() {
    draining = true;
  }

  void onSuccess() {
    retryBudget.onSuccess();
  }

  /** Returns why an arriving ticket must be refused, empty if it can be queued. */
  Optional<NotRunReason> checkArrival(ClassQueue queue, Ticket ticket, Instant now) {
    if (draining) {
      return Optional.of(NotRunReason.SHUTTING_DOWN);
    }
    if (ticket.deadline().isBefore(now.plus(queue.serviceTime()))) {
      return Optional.of(NotRunReason.DEADLINE_TOO_CLOSE);
    }
    if (queue.size() >= settings.maxQueued() || (ticket.retry() && !retryBudget.tryTake())) {
      return Optional.of(NotRunReason.OVERLOADED);
    }
    return checkWait(queue, ticket, queue.tickets(ticket.needsPrimary()).size(), now);
  }

  /**
   * Returns why a ticket must be refused because of its predicted wait, empty if it can wait.
   *
   * @param before the number of tickets of the same class and kind that are before it
   */
  Optional<NotRunReason> checkWait(ClassQueue queue, Ticket ticket, int before, Instant now) {
    Optional<Prediction> prediction = predict(queue, ticket.needsPrimary(), before, now);
    if (prediction.isEmpty()) {
      return Optional.of(ticket.needsPrimary() ? NotRunReason.NO_PRIMARY : NotRunReason.OVERLOADED);
    }
    Duration queueing = prediction.get().queueing();
    Instant worstCompletion =
        now.plus(prediction.get().untilPrimary())
            .plus(queueing.multipliedBy(WAIT_SAFETY_FACTOR))
            .plus(queue.serviceTime());
    if (!worstCompletion.isAfter(ticket.deadline())
        && queueing.compareTo(settings.maxWait()) <= 0) {
      return Optional.empty();
    }
    boolean noPrimary = ticket.needsPrimary() && primary == null;
    return Optional.of(noPrimary ? NotRunReason.NO_PRIMARY : NotRunReason.OVERLOADED);
  }

  private Optional<Prediction> predict(
      ClassQueue queue, boolean needsPrimary, int before, Instant now) {
    return estimator.predict(queue, needsPrimary, before, primary, expectedPrimary, now);
  }

  /** Returns the refusal, with a retry delay that differs for each caller. */
  AdmissionAction refuse(ClassQueue queue, Ticket ticket, NotRunReason reason, Instant now) {
    int before = queue.tickets(ticket.needsPrimary()).size();
    Duration wait =
        predict(queue, ticket.needsPrimary(), before, now)
            .map(Prediction::total)
            .orElse(settings.maxRetryAfter());
    Instant latest = now.plus(settings.maxRetryAfter());
    int capacity = estimator.capacity(queue, ticket.needsPrimary(), primary);
    Duration retryAfter = Duration.between(now, queue.bookRetry(now.plus(wait), latest, capacity));
    long jitterNanos = Math.max(MIN_JITTER.toNanos(), retryAfter.toNanos() / 2);
    return new AdmissionAction.Refuse(
        ticket, reason, retryAfter.plusNanos(random.nextLong(jitterNanos)));
  }
}

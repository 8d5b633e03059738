package org.chicorylane.internal.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.chicorylane.internal.admission.WaitEstimator.Prediction;
import org.chicorylane.internal.outcome.NotRunReason;
import org.jspecify.annotations.Nullable;

/**
 * Decides which tickets are refused and when their callers should come back.
 *
 * <p>A ticket is taken in only if twice its predicted wait still meets its deadline, so that nearly
 * all refusals come at once and few after a wait in vain. Not thread-safe.
 */
final class RefusalPolicy {
  private static final int PREDICTION_MARGIN = 2;
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

  /** Notes the primary; null if there is none, with the time when one is expected, if known. */
  void setPrimary(@Nullable String server, @Nullable Instant expected) {
    primary = server;
    expectedPrimary = expected;
  }

  /** Refuses whatever arrives from now on. */
  void setDraining() {
    draining = true;
  }

  void onSuccess() {
    retryBudget.onSuccess();
  }

  /** Returns why a ticket that arrives can't be taken in, if it can't. */
  Optional<NotRunReason> onArrival(ClassQueue queue, Ticket ticket, Instant now) {
    if (draining) {
      return Optional.of(NotRunReason.SHUTTING_DOWN);
    }
    if (ticket.deadline().isBefore(now.plus(queue.serviceTime()))) {
      return Optional.of(NotRunReason.DEADLINE_TOO_CLOSE);
    }
    if (queue.size() >= settings.maxQueued() || (ticket.retry() && !retryBudget.tryTake())) {
      return Optional.of(NotRunReason.OVERLOADED);
    }
    return byWait(queue, ticket, queue.lane(ticket.needsPrimary()).size(), now);
  }

  /**
   * Returns why a ticket is not worth queueing, if it isn't.
   *
   * @param before how many tickets of its lane are before it
   */
  Optional<NotRunReason> byWait(ClassQueue queue, Ticket ticket, int before, Instant now) {
    Optional<Prediction> prediction = predict(queue, ticket.needsPrimary(), before, now);
    if (prediction.isEmpty()) {
      return Optional.of(ticket.needsPrimary() ? NotRunReason.NO_PRIMARY : NotRunReason.OVERLOADED);
    }
    Duration queueing = prediction.get().queueing();
    Instant worst =
        now.plus(prediction.get().absence())
            .plus(queueing.multipliedBy(PREDICTION_MARGIN))
            .plus(queue.serviceTime());
    if (!worst.isAfter(ticket.deadline()) && queueing.compareTo(settings.maxWait()) <= 0) {
      return Optional.empty();
    }
    boolean noPrimary = ticket.needsPrimary() && primary == null;
    return Optional.of(noPrimary ? NotRunReason.NO_PRIMARY : NotRunReason.OVERLOADED);
  }

  private Optional<Prediction> predict(
      ClassQueue queue, boolean needsPrimary, int before, Instant now) {
    return estimator.predict(queue, needsPrimary, before, primary, expectedPrimary, now);
  }

  /** Returns the refusal with a time to come back that differs for each caller. */
  AdmissionAction refuse(ClassQueue queue, Ticket ticket, NotRunReason reason, Instant now) {
    int before = queue.lane(ticket.needsPrimary()).size();
    Duration wait =
        predict(queue, ticket.needsPrimary(), before, now)
            .map(Prediction::total)
            .orElse(settings.maxRetryAfter());
    Instant latest = now.plus(settings.maxRetryAfter());
    int capacity = estimator.capacity(queue, ticket.needsPrimary(), primary);
    Duration after = Duration.between(now, queue.bookReturn(now.plus(wait), latest, capacity));
    long spread = Math.max(MIN_JITTER.toNanos(), after.toNanos() / 2);
    return new AdmissionAction.Refuse(ticket, reason, after.plusNanos(random.nextLong(spread)));
  }
}

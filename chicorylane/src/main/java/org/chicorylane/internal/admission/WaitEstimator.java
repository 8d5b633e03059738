package org.chicorylane.internal.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Predicts how long a new ticket of a class would wait, from the work that fair queueing schedules
 * before it and the slots that its class may use. Reads the queue's state; not thread-safe.
 */
final class WaitEstimator {
  private final Collection<ClassQueue> queues;
  private final Map<String, ServerSlots> servers;

  WaitEstimator(Collection<ClassQueue> queues, Map<String, ServerSlots> servers) {
    this.queues = queues;
    this.servers = servers;
  }

  /**
   * A predicted wait.
   *
   * @param untilPrimary the time until a primary is expected; zero if there is one or none is
   *     needed
   * @param queueing the time from then on until a slot is free
   */
  record Prediction(Duration untilPrimary, Duration queueing) {
    Duration total() {
      return untilPrimary.plus(queueing);
    }
  }

  /** Returns how many requests of the class can run at once, on the primary or on all servers. */
  int capacity(ClassQueue queue, boolean needsPrimary, @Nullable String primary) {
    int total = 0;
    for (Map.Entry<String, ServerSlots> e : servers.entrySet()) {
      if (!needsPrimary || e.getKey().equals(primary)) {
        total += e.getValue().capacityFor(queue.name());
      }
    }
    return total;
  }

  /**
   * Returns the predicted wait of a ticket behind {@code before} others of its class and kind.
   *
   * @param needsPrimary the kind of ticket: whether only the primary can run it
   * @param expectedPrimary when a missing primary is expected; null if unknown
   * @return the prediction; empty if no server can run the ticket
   */
  Optional<Prediction> predict(
      ClassQueue queue,
      boolean needsPrimary,
      int before,
      @Nullable String primary,
      @Nullable Instant expectedPrimary,
      Instant now) {
    int capacity = capacity(queue, needsPrimary, primary);
    Duration untilPrimary = Duration.ZERO;
    if (capacity == 0) {
      if (!needsPrimary || expectedPrimary == null) {
        return Optional.empty();
      }
      untilPrimary =
          expectedPrimary.isAfter(now) ? Duration.between(now, expectedPrimary) : untilPrimary;
      capacity = 1;
    }
    double work = estimateWorkAhead(queue, needsPrimary, before, capacity, primary);
    if (work > 0 || !hasFreeSlot(queue, needsPrimary, primary)) {
      work += queue.serviceSeconds();
    }
    Duration wait = Duration.ofNanos(Math.round(work / capacity * 1e9));
    return Optional.of(new Prediction(untilPrimary, wait));
  }

  private double estimateWorkAhead(
      ClassQueue queue, boolean needsPrimary, int before, int capacity, @Nullable String primary) {
    double tag = queue.startTag() + before * queue.tagStep();
    double sameKind = before * queue.serviceSeconds();
    double otherKind = 0;
    for (ClassQueue q : queues) {
      if (q != queue) {
        sameKind += q.countAhead(q.tickets(needsPrimary).size(), tag) * q.serviceSeconds();
      }
      otherKind += q.countAhead(q.tickets(!needsPrimary).size(), tag) * q.serviceSeconds();
    }
    if (!needsPrimary) {
      return sameKind;
    }
    int totalCapacity = Math.max(capacity, capacity(queue, false, primary));
    return sameKind + otherKind * capacity / totalCapacity;
  }

  private boolean hasFreeSlot(ClassQueue queue, boolean needsPrimary, @Nullable String primary) {
    return servers.entrySet().stream()
        .filter(e -> !needsPrimary || e.getKey().equals(primary))
        .anyMatch(e -> e.getValue().isFreeFor(queue.name()));
  }
}

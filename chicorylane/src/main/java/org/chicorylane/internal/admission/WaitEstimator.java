package org.chicorylane.internal.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Predicts how long a new ticket of a class would wait, from the work that the fair schedule puts
 * before it and the slots that its class may use. Not thread-safe; reads the queue's state.
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
   * @param absence until a primary is there; zero if it is, or is not needed
   * @param queueing from then on, for a slot
   */
  record Prediction(Duration absence, Duration queueing) {
    Duration total() {
      return absence.plus(queueing);
    }
  }

  /** Returns how many requests of the class can run at once on all servers, or the primary. */
  int capacity(ClassQueue queue, boolean needsPrimary, @Nullable String primary) {
    int sum = 0;
    for (Map.Entry<String, ServerSlots> e : servers.entrySet()) {
      if (!needsPrimary || e.getKey().equals(primary)) {
        sum += e.getValue().capacityFor(queue.name());
      }
    }
    return sum;
  }

  /**
   * Returns the predicted wait of a ticket behind {@code before} others of its lane.
   *
   * @param expectedPrimary when an absent primary should be there; null if that is not known
   * @return empty if nothing can run the ticket
   */
  Optional<Prediction> predict(
      ClassQueue queue,
      boolean needsPrimary,
      int before,
      @Nullable String primary,
      @Nullable Instant expectedPrimary,
      Instant now) {
    int capacity = capacity(queue, needsPrimary, primary);
    Duration absence = Duration.ZERO;
    if (capacity == 0) {
      if (!needsPrimary || expectedPrimary == null) {
        return Optional.empty();
      }
      absence = expectedPrimary.isAfter(now) ? Duration.between(now, expectedPrimary) : absence;
      capacity = 1;
    }
    double work = workAhead(queue, needsPrimary, before, capacity, primary);
    if (work > 0 || !hasFreeSlot(queue, needsPrimary, primary)) {
      work += queue.serviceSeconds();
    }
    Duration wait = Duration.ofNanos(Math.round(work / capacity * 1e9));
    return Optional.of(new Prediction(absence, wait));
  }

  private double workAhead(
      ClassQueue queue, boolean needsPrimary, int before, int capacity, @Nullable String primary) {
    double tag = queue.startTag() + before * queue.tagStep();
    double sameLane = before * queue.serviceSeconds();
    double otherLane = 0;
    for (ClassQueue q : queues) {
      if (q != queue) {
        sameLane += q.ahead(q.lane(needsPrimary).size(), tag) * q.serviceSeconds();
      }
      otherLane += q.ahead(q.lane(!needsPrimary).size(), tag) * q.serviceSeconds();
    }
    if (!needsPrimary) {
      return sameLane;
    }
    int all = Math.max(capacity, capacity(queue, false, primary));
    return sameLane + otherLane * capacity / all;
  }

  private boolean hasFreeSlot(ClassQueue queue, boolean needsPrimary, @Nullable String primary) {
    return servers.entrySet().stream()
        .filter(e -> !needsPrimary || e.getKey().equals(primary))
        .anyMatch(e -> e.getValue().isFreeFor(queue.name()));
  }
}

package org.chicorylane.internal.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * The home's view of one backend server that may serve reads: availability, load and replay
 * position. Not thread-safe.
 */
final class ReplicaState {
  private static final double REPLAY_RATE_WEIGHT = 0.2;
  private static final double SERVICE_TIME_WEIGHT = 0.05;
  private static final double INITIAL_SERVICE_SECONDS = 0.005;

  private final String name;
  private ServerAvailability availability = ServerAvailability.UNUSABLE;
  private int slots;
  private int inFlight;
  private double serviceSeconds = INITIAL_SERVICE_SECONDS;
  private @Nullable Instant incarnation;
  private @Nullable LogPosition replayed;
  private Instant observedAt = Instant.EPOCH;
  private double bytesPerSecond;

  ReplicaState(String name) {
    this.name = name;
  }

  String name() {
    return name;
  }

  void update(int slots, ServerAvailability availability) {
    this.slots = slots;
    this.availability = availability;
  }

  boolean acceptsReads() {
    return availability.acceptsReads() && slots > 0;
  }

  /** Returns the highest position that the server is known to have replayed; null if unknown. */
  @Nullable LogPosition replayed() {
    return replayed;
  }

  /** Clears the replayed position, since the server may have restarted with older data. */
  void clearPosition() {
    replayed = null;
  }

  /**
   * Records a replayed position. A report from an earlier incarnation of the server is ignored, one
   * from a later incarnation replaces the position, and one from the same only raises it.
   */
  void recordReplayed(Instant startedAt, LogPosition position, Instant at) {
    if (incarnation != null && startedAt.isBefore(incarnation)) {
      return;
    }
    if (!startedAt.equals(incarnation)) {
      incarnation = startedAt;
      clearPosition();
    }
    if (replayed == null || position.compareTo(replayed) > 0) {
      if (replayed != null) {
        updateReplayRate(replayed, position, at);
      }
      replayed = position;
    }
    if (at.isAfter(observedAt)) {
      observedAt = at;
    }
  }

  private void updateReplayRate(LogPosition from, LogPosition to, Instant at) {
    double seconds = Duration.between(observedAt, at).toNanos() / 1e9;
    if (from.term() == to.term() && seconds > 0) {
      double rate = (to.offset() - from.offset()) / seconds;
      bytesPerSecond =
          bytesPerSecond == 0
              ? rate
              : bytesPerSecond + REPLAY_RATE_WEIGHT * (rate - bytesPerSecond);
    }
  }

  /**
   * Predicts from the replay rate when the server will have replayed {@code offset}; empty if the
   * position or rate is unknown, the server makes no progress, or it would take more than a day.
   */
  Optional<Instant> predictReplayTime(long offset) {
    if (replayed == null || bytesPerSecond <= 0) {
      return Optional.empty();
    }
    double seconds = (offset - replayed.offset()) / bytesPerSecond;
    return seconds > Duration.ofDays(1).toSeconds()
        ? Optional.empty()
        : Optional.of(observedAt.plusNanos(Math.round(seconds * 1e9)));
  }

  void onDispatched() {
    inFlight++;
  }

  void onAnswered(Duration serviceTime) {
    inFlight--;
    serviceSeconds += SERVICE_TIME_WEIGHT * (serviceTime.toNanos() / 1e9 - serviceSeconds);
  }

  int inFlight() {
    return inFlight;
  }

  boolean isFull() {
    return inFlight >= slots;
  }

  /** Returns the expected time in seconds until the answer to one more request. */
  double expectedSeconds() {
    double queuedRounds = Math.max(0, inFlight + 1 - slots) / (double) Math.max(1, slots);
    return serviceSeconds * (1 + queuedRounds);
  }
}

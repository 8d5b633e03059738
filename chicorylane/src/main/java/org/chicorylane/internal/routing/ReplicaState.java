package org.chicorylane.internal.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/** What a home knows of one backend server as a place for reads. Not thread-safe. */
final class ReplicaState {
  private static final double RATE_WEIGHT = 0.2;
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

  void set(int slots, ServerAvailability availability) {
    this.slots = slots;
    this.availability = availability;
  }

  boolean acceptsReads() {
    return availability.acceptsReads() && slots > 0;
  }

  /** Returns the last position that the server was seen to have replayed; null if not known. */
  @Nullable LogPosition replayed() {
    return replayed;
  }

  /** Forgets the position, which a restart may have taken back. */
  void forgetPosition() {
    replayed = null;
  }

  /** Takes an observation, unless it is of an earlier incarnation or older than what is known. */
  void observe(Instant startedAt, LogPosition position, Instant at) {
    if (incarnation != null && startedAt.isBefore(incarnation)) {
      return;
    }
    if (!startedAt.equals(incarnation)) {
      incarnation = startedAt;
      forgetPosition();
    }
    if (replayed == null || position.compareTo(replayed) > 0) {
      if (replayed != null) {
        updateRate(replayed, position, at);
      }
      replayed = position;
    }
    if (at.isAfter(observedAt)) {
      observedAt = at;
    }
  }

  private void updateRate(LogPosition from, LogPosition to, Instant at) {
    double seconds = Duration.between(observedAt, at).toNanos() / 1e9;
    if (from.term() == to.term() && seconds > 0) {
      double rate = (to.offset() - from.offset()) / seconds;
      bytesPerSecond =
          bytesPerSecond == 0 ? rate : bytesPerSecond + RATE_WEIGHT * (rate - bytesPerSecond);
    }
  }

  /** Returns when the server should have replayed an offset; empty if it makes no progress. */
  Optional<Instant> reaches(long offset) {
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

  /** Returns the expected seconds until the answer of one request more. */
  double expectedSeconds() {
    double rounds = Math.max(0, inFlight + 1 - slots) / (double) Math.max(1, slots);
    return serviceSeconds * (1 + rounds);
  }
}

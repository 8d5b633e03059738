package org.chicorylane.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;

/** A server's true state in a simulation. Not thread-safe. */
final class SimulatedReplica {
  private final String name;
  private final Duration lag;
  private final double serviceMillis;
  private Instant startedAt = Instant.EPOCH;
  private Instant appliesUntil = Instant.EPOCH;
  private long applied;
  private int inUse;
  private int connection;

  SimulatedReplica(String name, Duration lag, double serviceMillis) {
    this.name = name;
    this.lag = lag;
    this.serviceMillis = serviceMillis;
  }

  /** Applies a write after the lag, give or take half of it, in the order of the log. */
  void receive(VirtualTime time, Random random, long offset) {
    Duration delay =
        lag.dividedBy(2).plus(lag.multipliedBy(random.nextInt(1_000)).dividedBy(1_000));
    Instant at = time.now().plus(delay);
    appliesUntil = at.isAfter(appliesUntil) ? at : appliesUntil;
    time.at(appliesUntil, () -> applied = Math.max(applied, offset));
  }

  /** Ends all connections; answers on them get lost. */
  void cut() {
    connection++;
  }

  int connection() {
    return connection;
  }

  /** Restarts with older data. */
  void restart(Instant now, long lostBytes) {
    cut();
    startedAt = now;
    applied = Math.max(0, applied - lostBytes);
  }

  String name() {
    return name;
  }

  double serviceMillis() {
    return serviceMillis;
  }

  Instant startedAt() {
    return startedAt;
  }

  long applied() {
    return applied;
  }

  boolean isFree() {
    return inUse < ReadStrategy.SLOTS;
  }

  void take() {
    inUse++;
  }

  void free() {
    inUse--;
  }
}

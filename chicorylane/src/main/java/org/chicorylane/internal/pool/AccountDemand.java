package org.chicorylane.internal.pool;

/**
 * Decaying estimate of how often one client account takes a connection, and for how long.
 *
 * <p>Not thread-safe.
 */
final class AccountDemand {

  /** Time constant of the usual rate: long enough for accounts with one statement in 10 seconds. */
  private static final double USUAL_SECONDS = 30;

  /** Time constant of the current rate, which follows a burst of several seconds. */
  private static final double CURRENT_SECONDS = 2;

  /** Weight of the newest use in the average time for which a connection is held. */
  private static final double NEWEST_WEIGHT = 0.1;

  /** Time assumed until a connection is given back, before one was, in seconds. */
  private static final double INITIAL_HELD_SECONDS = 0.015;

  private double usualPerSecond;
  private double currentPerSecond;
  private double heldSeconds = INITIAL_HELD_SECONDS;
  private long decayedNanos;

  AccountDemand(long nowNanos) {
    decayedNanos = nowNanos;
  }

  /** Records that the account takes a connection. */
  void onTaken(long nowNanos) {
    decay(nowNanos);
    usualPerSecond += 1 / USUAL_SECONDS;
    currentPerSecond += 1 / CURRENT_SECONDS;
  }

  /** Records that a connection is given back after {@code nanos}. */
  void onGivenBack(long nanos) {
    heldSeconds += NEWEST_WEIGHT * (nanos / 1e9 - heldSeconds);
  }

  private void decay(long nowNanos) {
    double seconds = (nowNanos - decayedNanos) / 1e9;
    usualPerSecond *= Math.exp(-seconds / USUAL_SECONDS);
    currentPerSecond *= Math.exp(-seconds / CURRENT_SECONDS);
    decayedNanos = nowNanos;
  }

  /**
   * Returns the rate at which connections are taken, per second. The current rate counts as far as
   * it exceeds its standard error, so that a single statement is not taken for a burst.
   */
  double perSecond(long nowNanos) {
    decay(nowNanos);
    double burst = currentPerSecond - Math.sqrt(currentPerSecond / CURRENT_SECONDS);
    return Math.max(usualPerSecond, burst);
  }

  /** Returns the average number of connections in use if there were enough of them. */
  double connectionsInUse(long nowNanos) {
    return perSecond(nowNanos) * heldSeconds;
  }
}

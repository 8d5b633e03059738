package org.chicorylane.internal.dissemination;

import java.time.Duration;

/**
 * Prints how often a fleet calls the store without changes and for one change, and how these rates
 * grow with the fleet, at the sizes given as arguments. Each zone has two watchers; there are three
 * zones up to 100 instances and 18 zones beyond.
 */
public final class DisseminationSlope {

  private static final Duration MEASURED = Duration.ofMinutes(20);
  private static final Duration STEP = Duration.ofMillis(10);
  private static final int LARGE_FLEET = 100;
  private static final long IDLE_WATCH_TIMEOUT_SECONDS = 30;

  private DisseminationSlope() {}

  /** Measures each size in {@code args}. */
  public static void main(String[] args) {
    System.out.println(
        "instances | watchers | calls/s at rest, all | of these reopened watches"
            + " | calls for one change, all | in force everywhere, s");
    for (String arg : args) {
      measure(Integer.parseInt(arg));
    }
  }

  private static void measure(int size) {
    int watchers = Math.min(size, size > LARGE_FLEET ? 36 : 6);
    SimulatedDissemination fleet = new SimulatedDissemination(size, watchers, size);
    fleet.run(MEASURED);
    long calls = fleet.storeCalls();
    fleet.run(MEASURED);
    double reopenedWatchesPerSecond = 1.0 * watchers / IDLE_WATCH_TIMEOUT_SECONDS;
    final double idleCallsPerSecond =
        1.0 * (fleet.storeCalls() - calls) / MEASURED.toSeconds() + reopenedWatchesPerSecond;
    calls = fleet.storeCalls();
    fleet.change();
    Duration timeToConverge = Duration.ZERO;
    while (!fleet.hasConverged()) {
      fleet.run(STEP);
      timeToConverge = timeToConverge.plus(STEP);
    }
    long callsPerChange = fleet.storeCalls() - calls;
    System.out.printf(
        "%d | %d | %.2f | %.2f | %d | %.2f%n",
        size,
        watchers,
        idleCallsPerSecond,
        reopenedWatchesPerSecond,
        callsPerChange,
        timeToConverge.toMillis() / 1000.0);
  }
}

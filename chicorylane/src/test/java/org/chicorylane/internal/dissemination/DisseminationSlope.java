package org.chicorylane.internal.dissemination;

import java.time.Duration;

/**
 * Prints how often a fleet calls the store at rest and after a change, at the sizes given as
 * arguments, with two watchers in each of three zones up to 100 instances and 18 zones beyond.
 */
public final class DisseminationSlope {

  private static final Duration MEASURED = Duration.ofMinutes(20);
  private static final Duration STEP = Duration.ofMillis(10);
  private static final int LARGE_FLEET = 100;
  private static final long WATCH_SILENCE_SECONDS = 30;

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
    double reopened = 1.0 * watchers / WATCH_SILENCE_SECONDS;
    final double rest = 1.0 * (fleet.storeCalls() - calls) / MEASURED.toSeconds() + reopened;
    calls = fleet.storeCalls();
    fleet.change();
    Duration time = Duration.ZERO;
    while (!fleet.converged()) {
      fleet.run(STEP);
      time = time.plus(STEP);
    }
    long change = fleet.storeCalls() - calls;
    System.out.printf(
        "%d | %d | %.2f | %.2f | %d | %.2f%n",
        size, watchers, rest, reopened, change, time.toMillis() / 1000.0);
  }
}

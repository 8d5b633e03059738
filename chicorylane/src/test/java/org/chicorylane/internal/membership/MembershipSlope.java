package org.chicorylane.internal.membership;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Prints what the membership protocol costs a member at the fleet sizes given as arguments: bytes
 * sent and received, processor time of the core with encoding left out and the simulated network
 * included, heap; then how long a crash and a new revision take to be known to all.
 */
public final class MembershipSlope {

  private static final Duration WARM_UP = Duration.ofMinutes(1);
  private static final Duration MEASURED = Duration.ofMinutes(1);
  private static final Duration STEP = Duration.ofMillis(50);
  private static final Duration LIMIT = Duration.ofMinutes(5);
  private static final long SEED = 11;
  private static final int ZONES = 18;

  private MembershipSlope() {}

  /** Measures each size in {@code args}. */
  public static void main(String[] args) {
    System.out.println(
        "members | sent+received B/s a member | CPU us/s a member | heap KiB a member"
            + " | leaving known by all, s | revision known by all, s"
            + " | crash found by first, s | by all, s | B/s a member during that"
            + " | a zone of 18 lost: found by all, s | highest B/s a member in a second");
    for (String arg : args) {
      measure(Integer.parseInt(arg));
    }
  }

  private static void measure(int size) {
    long heapBefore = usedHeap();
    SimulatedFleet fleet = new SimulatedFleet(size, SEED);
    fleet.run(WARM_UP);
    final double heap = (usedHeap() - heapBefore) / 1024.0 / size;

    long bytes = fleet.sentBytes();
    long cpu = cpuNanos();
    fleet.run(MEASURED);
    double seconds = MEASURED.toSeconds();
    final double rest = 2.0 * (fleet.sentBytes() - bytes) / size / seconds;
    final double micros = (cpuNanos() - cpu) / 1_000.0 / size / seconds;

    fleet.setRevision("instance-1", 42);
    List<String> ids = new ArrayList<>(fleet.running());
    Collections.sort(ids);
    final double revision =
        until(
            fleet,
            () -> ids.stream().allMatch(id -> fleet.protocol(id).highestRevisionSeen() == 42));
    fleet.leave("instance-3");
    final double leaving =
        until(
            fleet,
            () ->
                ids.stream()
                    .filter(id -> !id.equals("instance-3"))
                    .allMatch(
                        id -> fleet.believed(id, MemberStatus.LEAVING).contains("instance-3")));
    fleet.run(MEASURED);

    String victim = "instance-2";
    fleet.crash(victim);
    Set<String> others = fleet.running();
    bytes = fleet.sentBytes();
    final double first =
        until(fleet, () -> others.stream().anyMatch(id -> isDead(fleet, id, victim)));
    final double rest2 =
        until(fleet, () -> others.stream().allMatch(id -> isDead(fleet, id, victim)));
    final double busy = 2.0 * (fleet.sentBytes() - bytes) / size / Math.max(1, first + rest2);
    String zone = loseZone(fleet, ids);
    System.out.printf(
        "%d | %.0f | %.0f | %.0f | %.2f | %.2f | %.2f | %.2f | %.0f | %s%n",
        size, rest, micros, heap, leaving, revision, first, first + rest2, busy, zone);
  }

  /** Crashes one in 18 members at once, at least one. */
  private static String loseZone(SimulatedFleet fleet, List<String> ids) {
    List<String> lost =
        ids.stream()
            .filter(id -> fleet.running().contains(id))
            .limit(Math.max(1, ids.size() / ZONES))
            .toList();
    lost.forEach(fleet::crash);
    Set<String> left = fleet.running();
    double highest = 0;
    int seconds = 0;
    while (!left.stream().allMatch(id -> fleet.believed(id, MemberStatus.DEAD).containsAll(lost))) {
      long before = fleet.sentBytes();
      fleet.run(Duration.ofSeconds(1));
      highest = Math.max(highest, 2.0 * (fleet.sentBytes() - before) / left.size());
      seconds++;
    }
    return String.format("%d | %.0f", seconds, highest);
  }

  private static boolean isDead(SimulatedFleet fleet, String observer, String victim) {
    return fleet.believed(observer, MemberStatus.DEAD).contains(victim);
  }

  private static double until(SimulatedFleet fleet, BooleanSupplier condition) {
    long steps = 0;
    while (!condition.getAsBoolean() && STEP.multipliedBy(steps).compareTo(LIMIT) < 0) {
      fleet.run(STEP);
      steps++;
    }
    return STEP.multipliedBy(steps).toMillis() / 1000.0;
  }

  private static long cpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static long usedHeap() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}

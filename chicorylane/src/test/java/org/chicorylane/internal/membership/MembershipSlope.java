package org.chicorylane.internal.membership;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Prints the cost of the membership protocol per member, and how it grows with the fleet, at the
 * sizes given as arguments: bytes sent and received, heap, and processor time, which excludes the
 * encoding of datagrams and includes the simulated network. It then prints how long an announced
 * shutdown, a new revision, a crash and the loss of a zone take to reach all members.
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
    final double heapKibPerMember = (usedHeap() - heapBefore) / 1024.0 / size;

    long bytes = fleet.sentBytes();
    long cpu = cpuNanos();
    fleet.run(MEASURED);
    double seconds = MEASURED.toSeconds();
    final double idleBytesPerSecond = 2.0 * (fleet.sentBytes() - bytes) / size / seconds;
    final double cpuMicrosPerSecond = (cpuNanos() - cpu) / 1_000.0 / size / seconds;

    fleet.setRevision("instance-1", 42);
    List<String> ids = new ArrayList<>(fleet.running());
    Collections.sort(ids);
    final double revision =
        secondsUntil(
            fleet,
            () -> ids.stream().allMatch(id -> fleet.protocol(id).highestRevisionSeen() == 42));
    fleet.leave("instance-3");
    final double leaving =
        secondsUntil(
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
    final double crashToFirst =
        secondsUntil(fleet, () -> others.stream().anyMatch(id -> isDead(fleet, id, victim)));
    final double firstToAll =
        secondsUntil(fleet, () -> others.stream().allMatch(id -> isDead(fleet, id, victim)));
    final double bytesPerSecondDuringCrash =
        2.0 * (fleet.sentBytes() - bytes) / size / Math.max(1, crashToFirst + firstToAll);
    String zone = loseZone(fleet, ids);
    System.out.printf(
        "%d | %.0f | %.0f | %.0f | %.2f | %.2f | %.2f | %.2f | %.0f | %s%n",
        size,
        idleBytesPerSecond,
        cpuMicrosPerSecond,
        heapKibPerMember,
        leaving,
        revision,
        crashToFirst,
        crashToFirst + firstToAll,
        bytesPerSecondDuringCrash,
        zone);
  }

  /** Crashes one in 18 members, but at least one, at the same moment. */
  private static String loseZone(SimulatedFleet fleet, List<String> ids) {
    List<String> lost =
        ids.stream()
            .filter(id -> fleet.running().contains(id))
            .limit(Math.max(1, ids.size() / ZONES))
            .toList();
    lost.forEach(fleet::crash);
    Set<String> remaining = fleet.running();
    double highestBytesPerSecond = 0;
    int seconds = 0;
    while (!remaining.stream()
        .allMatch(id -> fleet.believed(id, MemberStatus.DEAD).containsAll(lost))) {
      long before = fleet.sentBytes();
      fleet.run(Duration.ofSeconds(1));
      highestBytesPerSecond =
          Math.max(highestBytesPerSecond, 2.0 * (fleet.sentBytes() - before) / remaining.size());
      seconds++;
    }
    return String.format("%d | %.0f", seconds, highestBytesPerSecond);
  }

  private static boolean isDead(SimulatedFleet fleet, String observer, String victim) {
    return fleet.believed(observer, MemberStatus.DEAD).contains(victim);
  }

  private static double secondsUntil(SimulatedFleet fleet, BooleanSupplier condition) {
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

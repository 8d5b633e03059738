package org.chicorylane.bench.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.chicorylane.standin.wire.ReplicatedGroup;
import org.chicorylane.standin.wire.ReplicatedGroupListener.PromotionCall;
import org.chicorylane.standin.wire.ReplicatedServer;

/**
 * Draws faults from a seed: independent ones at random times, and series of them between the call
 * for a promotion and its effect.
 */
final class FaultInjector {

  private static final int MIN_INTERVAL_MILLIS = 150;
  private static final int INTERVAL_RANGE_MILLIS = 1_350;

  /** Time within which a promotion mostly takes effect. */
  private static final int EFFECT_MILLIS = 400;

  /** Time within which half of the faults around a promotion begin, so that others react to it. */
  private static final int EARLY_MILLIS = 60;

  private static final int MAX_DELIVERY_MILLIS = 60;
  private static final int MAX_APPLY_MILLIS = 200;

  private static final double HOLDER_FAULT_SHARE = 0.75;
  private static final double REPLICA_FAULT_SHARE = 0.6;
  private static final double NEXT_PRIMARY_FAULT_SHARE = 0.6;

  /** Time within which the primary fails again after a promotion. */
  private static final int NEXT_PRIMARY_RANGE_MILLIS = 2_500;

  private final SoakFleet fleet;
  private final Timeline timeline;
  private final Random independent;
  private final Random aroundPromotions;
  private final List<Fault> faults;
  private volatile boolean active;

  FaultInjector(SoakFleet fleet, Timeline timeline, SoakOptions options) {
    this.fleet = fleet;
    this.timeline = timeline;
    this.independent = new Random(options.seed());
    this.aroundPromotions = new Random(~options.seed());
    this.faults = Stream.of(Fault.values()).filter(options::allows).toList();
  }

  /** Injects faults for a time, or until a rule is broken. */
  void run(int seconds) throws InterruptedException, IOException {
    drawDelays();
    active = true;
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (System.nanoTime() < end && timeline.violations().isEmpty()) {
      List<ReplicatedGroup> groups = fleet.system().groups();
      draw().inject(fleet, Fault.choose(groups, independent), independent);
      int millis = MIN_INTERVAL_MILLIS + independent.nextInt(INTERVAL_RANGE_MILLIS);
      TimeUnit.MILLISECONDS.sleep(millis);
    }
    active = false;
  }

  /** Gives each server delays of its own, so that one replica is usually ahead of the other. */
  private void drawDelays() {
    for (ReplicatedGroup group : fleet.system().groups()) {
      for (ReplicatedServer server : group.servers()) {
        server.setDelays(
            independent.nextInt(MAX_DELIVERY_MILLIS), independent.nextInt(MAX_APPLY_MILLIS));
      }
    }
  }

  private Fault draw() {
    int left = independent.nextInt(faults.stream().mapToInt(Fault::weight).sum());
    for (Fault f : faults) {
      left -= f.weight();
      if (left < 0) {
        return f;
      }
    }
    throw new IllegalStateException("the weights of " + faults + " sum up to less than drawn");
  }

  /** Injects faults around a promotion that was called for and has not taken effect. */
  synchronized void onPromotionOrdered(ReplicatedGroup group, PromotionCall call) {
    if (!active || fleet.onlyPlannedWork()) {
      return;
    }
    if (aroundPromotions.nextDouble() < HOLDER_FAULT_SHARE) {
      int kind = aroundPromotions.nextInt(10);
      InstanceProcess holder = fleet.instance(call.holder());
      Random drawn = new Random(aroundPromotions.nextLong());
      fleet.after(
          drawDelay(),
          () -> {
            if (kind < 5) {
              holder.signal("KILL");
            } else if (kind < 9) {
              Fault.pause(fleet, holder, drawn);
            } else {
              holder.signal("TERM");
            }
          });
    }
    if (aroundPromotions.nextDouble() < REPLICA_FAULT_SHARE) {
      injectAtReplica(group, call);
    }
    if (aroundPromotions.nextDouble() < NEXT_PRIMARY_FAULT_SHARE) {
      injectAtNextPrimary(group);
    }
  }

  /** Makes another promotion of the group follow. */
  private void injectAtNextPrimary(ReplicatedGroup group) {
    List<Fault> kinds =
        Stream.of(Fault.CRASH_PRIMARY, Fault.FREEZE_PRIMARY, Fault.REPLACE_SERVER)
            .filter(faults::contains)
            .toList();
    if (kinds.isEmpty()) {
      return;
    }
    Fault kind = Fault.choose(kinds, aroundPromotions);
    Random drawn = new Random(aroundPromotions.nextLong());
    fleet.after(
        EFFECT_MILLIS + aroundPromotions.nextInt(NEXT_PRIMARY_RANGE_MILLIS),
        () -> {
          if (active) {
            kind.inject(fleet, group, drawn);
          }
        });
  }

  private long drawDelay() {
    return aroundPromotions.nextInt(aroundPromotions.nextBoolean() ? EARLY_MILLIS : EFFECT_MILLIS);
  }

  private void injectAtReplica(ReplicatedGroup group, PromotionCall call) {
    ReplicatedServer primary = group.primary();
    List<ReplicatedServer> others =
        group.servers().stream()
            .filter(s -> s != primary && !s.id().equals(call.serverId()))
            .toList();
    if (others.isEmpty()) {
      return;
    }
    ReplicatedServer other = Fault.choose(others, aroundPromotions);
    List<Fault> kinds =
        Stream.of(Fault.FREEZE_REPLICA, Fault.LAPSE_SERVER, Fault.SILENCE_SERVER)
            .filter(faults::contains)
            .toList();
    if (kinds.isEmpty()) {
      return;
    }
    Fault kind = Fault.choose(kinds, aroundPromotions);
    int millis = 300 + aroundPromotions.nextInt(4_000);
    Random drawn = new Random(aroundPromotions.nextLong());
    fleet.after(
        drawDelay(),
        () -> {
          switch (kind) {
            case FREEZE_REPLICA -> Fault.freeze(fleet, other, millis);
            case LAPSE_SERVER -> Fault.lapse(fleet, other, millis);
            default -> {
              timeline.event("connections go silent: " + other.describe());
              fleet.linkTo(other).silence(1, drawn);
            }
          }
        });
  }
}

package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.Random;
import org.chicorylane.internal.passthrough.ModelServer;
import org.chicorylane.internal.platform.StoreTransaction;

/** Random faults that cause promotions, and faults that disturb a promotion under way. */
final class PromotionFaults {

  private static final int MIN_DURATION_MILLIS = 300;
  private static final int MAX_DURATION_MILLIS = 6_000;

  /** Delay before a killed instance is started again. */
  private static final int RESTART_MILLIS = 700;

  private final ModelFleet fleet;
  private final Random random;

  PromotionFaults(ModelFleet fleet, Random random) {
    this.fleet = fleet;
    this.random = random;
  }

  /** Starts a fault of the primary or its connections, and schedules its end. */
  void injectCause() {
    ModelServer primary = fleet.group.primary();
    ModelHost home = fleet.home().orElse(fleet.hosts().get(0));
    int millis = randomDurationMillis();
    switch (random.nextInt(6)) {
      case 0 -> crash(primary, millis);
      case 1 -> {
        fleet.putServer(primary.id(), true);
        runAfter(millis, () -> fleet.putServer(primary.id(), false));
      }
      case 2 -> {
        primary.isolatedFromServers = true;
        runAfter(millis, () -> primary.isolatedFromServers = false);
      }
      case 3 -> {
        Partition partition = Partition.begin(fleet, home, primary);
        runAfter(2L * millis, partition::end);
      }
      case 4 -> cut(home, primary.id(), millis);
      default -> {
        primary.unresponsive = true;
        runAfter(millis, () -> primary.unresponsive = false);
      }
    }
  }

  /** Starts a fault that is harmful during a promotion, and schedules its end. */
  void injectDisturbance() {
    ModelPromotionService service = fleet.promotionService;
    ModelHost home = fleet.home().orElse(fleet.hosts().get(0));
    ModelServer server = randomServer();
    int millis = randomDurationMillis();
    switch (random.nextInt(10)) {
      case 0 -> killCallerOfNextPromotion(random.nextInt(1_200));
      case 1 -> {
        service.untilExecuted = Duration.ofMillis(millis);
        runAfter(3_000, service::resetDelays);
      }
      case 2 -> {
        service.untilEffect = Duration.ofMillis(millis);
        runAfter(3_000, service::resetDelays);
      }
      case 3 -> removeEntry(server.id(), millis);
      case 4 -> crash(server, millis / 10);
      case 5 -> {
        server.ignoresReplication = true;
        runAfter(millis, () -> server.ignoresReplication = false);
      }
      case 6 -> {
        service.losesAnswers = true;
        runAfter(millis, () -> service.losesAnswers = false);
      }
      case 7 -> {
        home.freeze();
        runAfter(millis / 4, home::thaw);
      }
      case 8 -> fleet.hosts().forEach(h -> cut(h, server.id(), millis));
      default -> {
        fleet.storeDown = true;
        runAfter(millis / 2, () -> fleet.storeDown = false);
      }
    }
  }

  /** Ends the faults of the promotion service that would act on later promotions. */
  void end() {
    fleet.promotionService.onOrder = order -> {};
    fleet.promotionService.resetDelays();
  }

  private void killCallerOfNextPromotion(int delayMillis) {
    fleet.promotionService.onOrder =
        order -> {
          fleet.promotionService.onOrder = later -> {};
          ModelHost caller = fleet.host(order.caller());
          runAfter(delayMillis, caller::kill);
          runAfter(delayMillis + RESTART_MILLIS, () -> startIfDown(caller));
        };
  }

  private void crash(ModelServer server, int millis) {
    server.crash();
    runAfter(millis, server::restart);
  }

  private void cut(ModelHost host, String serverId, int millis) {
    host.unreachableServers.add(serverId);
    runAfter(millis, () -> host.unreachableServers.remove(serverId));
  }

  private void removeEntry(String serverId, int millis) {
    fleet.store.transact(StoreTransaction.builder().delete("servers/" + serverId).build());
    runAfter(millis, () -> fleet.putServer(serverId, false));
  }

  private ModelServer randomServer() {
    return fleet.group.server(fleet.serverIds().get(random.nextInt(3)));
  }

  private int randomDurationMillis() {
    return MIN_DURATION_MILLIS + random.nextInt(MAX_DURATION_MILLIS);
  }

  private static void startIfDown(ModelHost host) {
    if (!host.running) {
      host.start();
    }
  }

  private void runAfter(long millis, Runnable end) {
    fleet.scheduler.schedule(Duration.ofMillis(millis), end);
  }
}

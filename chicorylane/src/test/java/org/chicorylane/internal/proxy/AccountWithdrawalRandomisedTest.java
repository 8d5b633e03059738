package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.chicorylane.internal.account.AccountRules;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Withdraws keys from a whole fleet under random faults, and checks that none works for longer than
 * the bound, and that a granted key works after the faults.
 *
 * <p>{@code -Dfleet.seeds=1000 -Dfleet.firstSeed=1} runs more seeds, {@code -Dfleet.log=true}
 * prints the log lines of the instances.
 */
final class AccountWithdrawalRandomisedTest {

  private static final int KEYS = 6;

  static LongStream seeds() {
    long first = Long.getLong("fleet.firstSeed", 1);
    return LongStream.range(first, first + Long.getLong("fleet.seeds", 20));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void testBoundHoldsUnderFaults(long seed) {
    Random random = new Random(seed);
    int instances = 4 + random.nextInt(4);
    ModelFleet fleet = new ModelFleet(instances, 2);
    fleet.zoneSize = random.nextBoolean() ? 1 : instances;
    fleet.logging = Boolean.getBoolean("fleet.log");
    fleet.accountRules = new AccountRules(true, AccountClients.BOUND, true, null);
    AccountClients clients = new AccountClients(fleet, random, KEYS);
    fleet.start();
    clients.begin();
    fleet.advance(1_000);
    for (int i = 0; i < KEYS - 1; i++) {
      inject(fleet, random);
      fleet.advance(random.nextInt(2_000));
      clients.withdraw("key-" + i);
      fleet.advance(random.nextInt(3) == 0 ? 100 : 2_500);
      inject(fleet, random);
    }
    fleet.advance(16_000);
    String granted = "key-" + (KEYS - 1);
    final int before = clients.countSuccesses(granted);
    fleet.advance(6_000);
    if (fleet.logging) {
      fleet.lines.forEach(System.out::println);
    }
    assertWithMessage("seed %s", seed).that(clients.violations).isEmpty();
    assertWithMessage("seed %s: served after the faults", seed)
        .that(clients.countSuccesses(granted) - before)
        .isGreaterThan(60);
  }

  /** Starts a random fault of the store, an instance or a link, and schedules its end. */
  private static void inject(ModelFleet fleet, Random random) {
    ModelHost any = fleet.hosts().get(random.nextInt(fleet.hosts().size()));
    ModelHost host = random.nextInt(3) > 0 ? fleet.home().orElse(any) : any;
    int millis = 500 + random.nextInt(9_000);
    switch (random.nextInt(8)) {
      case 0 -> {
        List<ModelHost> shutOut =
            fleet.hosts().stream().filter(h -> random.nextInt(100) < 35).toList();
        shutOut.forEach(h -> h.storeUnreachable = true);
        runAfter(fleet, millis, () -> shutOut.forEach(h -> h.storeUnreachable = false));
      }
      case 1 -> {
        host.storeUnreachable = true;
        runAfter(fleet, millis, () -> host.storeUnreachable = false);
      }
      case 2 -> {
        host.storeUnreachable = true;
        fleet.hosts().stream()
            .filter(h -> h != host)
            .forEach(h -> host.unreachableHosts.add(h.name));
        runAfter(
            fleet,
            millis,
            () -> {
              host.storeUnreachable = false;
              host.unreachableHosts.clear();
            });
      }
      case 3 -> {
        fleet.storeDown = true;
        fleet.storeRefuses = random.nextBoolean();
        runAfter(fleet, Math.min(millis, 4_500), () -> fleet.storeDown = false);
      }
      case 4 -> {
        host.freeze();
        runAfter(fleet, millis, host::thaw);
      }
      case 5 -> {
        host.kill();
        runAfter(fleet, 700, () -> startIfDown(host));
      }
      case 6 -> {
        fleet.hosts().forEach(ModelHost::kill);
        runAfter(fleet, 700, () -> fleet.hosts().forEach(h -> startIfDown(h)));
      }
      default -> {
        host.losesStoreAnswers = true;
        runAfter(fleet, millis, () -> host.losesStoreAnswers = false);
      }
    }
  }

  private static void startIfDown(ModelHost host) {
    if (!host.running) {
      host.start();
    }
  }

  private static void runAfter(ModelFleet fleet, long millis, Runnable end) {
    fleet.scheduler.schedule(Duration.ofMillis(millis), end);
  }
}

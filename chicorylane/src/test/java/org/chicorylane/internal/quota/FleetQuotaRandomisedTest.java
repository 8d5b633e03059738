package org.chicorylane.internal.quota;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.chicorylane.internal.account.ClientAccount;
import org.junit.jupiter.api.Test;

/**
 * Loads an account far above its limit while homes move, freeze, restart and are cut off, and
 * checks each window. The system property {@code quota.seeds} sets the number of seeds.
 */
class FleetQuotaRandomisedTest {

  private static final int SEEDS = Integer.getInteger("quota.seeds", 60);
  private static final int RUN_MILLIS = 25_000;

  /** Time in which all instances learn of a new limit. */
  private static final int APPLY_MILLIS = 500;

  @Test
  void testNoWindowExceedsTheLimit() {
    List<String> violations = new ArrayList<>();
    for (int seed = 1; seed <= SEEDS; seed++) {
      run(seed, violations);
    }
    assertTrue(violations.isEmpty(), violations.toString());
  }

  private static void run(int seed, List<String> violations) {
    Random random = new Random(seed);
    int groups = 6;
    int instances = 1 + random.nextInt(8);
    ClientAccount account = randomAccount(random);
    QuotaFleet fleet = new QuotaFleet(groups, instances, account);
    fleet.messageMillis = 1 + random.nextInt(120);
    fleet.advance(random.nextInt(12_000));
    int focus = random.nextInt(groups);
    boolean focused = random.nextBoolean();
    int perSecond = 300 + random.nextInt(1_200);
    int transactionShare = random.nextInt(3) * 20;
    long checkedFrom = 0;
    int changeAt = random.nextInt(3) == 0 ? 10_000 : -1;
    double due = 0;
    for (int i = 0; i < RUN_MILLIS; i++) {
      if (i == changeAt) {
        check(seed, fleet, account, checkedFrom, violations);
        account = randomAccount(random);
        fleet.declare(2, APPLY_MILLIS / instances, account);
      }
      if (i == changeAt + APPLY_MILLIS && changeAt >= 0) {
        // An instance that was frozen at the change learns of it when it wakes.
        fleet.hosts.stream().filter(h -> h.frozen).forEach(QuotaFleet.Host::thaw);
        checkedFrom = fleet.now() + 1;
      }
      for (due += perSecond / 1e3; due >= 1; due--) {
        int group = focused ? focus : random.nextInt(groups);
        if (random.nextInt(100) < transactionShare) {
          transact(fleet, random, group);
        } else {
          fleet.call("a", group);
        }
      }
      if (random.nextInt(400) == 0) {
        disturb(fleet, random, groups);
        focus = random.nextInt(groups);
      }
      fleet.advance(1);
    }
    check(seed, fleet, account, checkedFrom, violations);
  }

  private static ClientAccount randomAccount(Random random) {
    double[] rates = {0, 0.5, 3, 20, 60, 120, 300};
    double rate = rates[random.nextInt(rates.length)];
    return QuotaFleet.account("a", rate, rate * random.nextInt(4) / 2);
  }

  private static void transact(QuotaFleet fleet, Random random, int group) {
    if (fleet.begin("a", group)) {
      int later = 1 + random.nextInt(6);
      int pause = 1 + random.nextInt(60);
      for (int n = 1; n <= later; n++) {
        fleet.scheduler.schedule(
            Duration.ofMillis((long) pause * n), () -> fleet.proceed("a", group));
      }
    }
  }

  private static void disturb(QuotaFleet fleet, Random random, int groups) {
    int instances = fleet.hosts.size();
    QuotaFleet.Host host = fleet.hosts.get(random.nextInt(instances));
    int group = random.nextInt(groups);
    switch (random.nextInt(6)) {
      case 0 -> fleet.hand(group, random.nextInt(instances));
      case 1 -> {
        host.freeze();
        fleet.take(group, random.nextInt(instances));
      }
      case 2 -> host.thaw();
      case 3 -> host.cutFrom.add(random.nextInt(instances));
      case 4 -> host.cutFrom.clear();
      default -> {
        if (!host.frozen && random.nextInt(3) == 0) {
          fleet.restart(host.index);
        }
      }
    }
  }

  private static void check(
      int seed, QuotaFleet fleet, ClientAccount account, long from, List<String> violations) {
    int most = fleet.mostInWindow("a", from);
    if (most > QuotaFleet.allowed(account)) {
      violations.add(
          "seed " + seed + ": " + most + " sent, allowed " + QuotaFleet.allowed(account));
    }
  }
}

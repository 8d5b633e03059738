package org.chicorylane.internal.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.account.ClientAccount;
import org.junit.jupiter.api.Test;

class FleetQuotaTest {

  private static final ClientAccount ACCOUNT = QuotaFleet.account("a", 120, 120);
  private static final int GROUPS = 6;

  /** Callers of the account send {@code perSecond} statements a second to one group. */
  private static void load(QuotaFleet fleet, String account, int group, int perSecond, int millis) {
    double due = 0;
    for (int i = 0; i < millis; i++) {
      for (due += perSecond / 1e3; due >= 1; due--) {
        fleet.call(account, group);
      }
      fleet.advance(1);
    }
  }

  /** Callers of the account send {@code perSecond} statements a second to all groups in turn. */
  private static void loadAll(QuotaFleet fleet, String account, int perSecond, int millis) {
    double due = 0;
    int next = 0;
    for (int i = 0; i < millis; i++) {
      for (due += perSecond / 1e3; due >= 1; due--) {
        fleet.call(account, next++ % GROUPS);
      }
      fleet.advance(1);
    }
  }

  private static void assertWithinLimit(QuotaFleet fleet, ClientAccount account) {
    int most = fleet.mostInWindow(account.name(), 0);
    assertTrue(
        most <= QuotaFleet.allowed(account),
        most + " sent in a window, allowed " + QuotaFleet.allowed(account));
  }

  private static void assertServed(QuotaFleet fleet, ClientAccount account, long from, long to) {
    double share =
        fleet.sentBetween(account.name(), from, to) / (account.ratePerSecond() * (to - from) / 1e3);
    assertTrue(share >= 0.97, "served " + share + " of the rate");
  }

  @Test
  void testAllCallersAtOneHomeUseTheWholeRate() {
    QuotaFleet fleet = new QuotaFleet(GROUPS, 6, ACCOUNT);
    fleet.advance(3_000);
    load(fleet, "a", 2, 900, 20_000);
    assertWithinLimit(fleet, ACCOUNT);
    assertServed(fleet, ACCOUNT, fleet.now() - 20_000, fleet.now());
    assertServed(fleet, ACCOUNT, fleet.now() - 10_000, fleet.now());
  }

  @Test
  void testCallersAtAllHomesUseTheWholeRate() {
    QuotaFleet fleet = new QuotaFleet(GROUPS, 4, ACCOUNT);
    loadAll(fleet, "a", 900, 20_000);
    assertWithinLimit(fleet, ACCOUNT);
    assertServed(fleet, ACCOUNT, fleet.now() - 10_000, fleet.now());
  }

  @Test
  void testDemandThatMovesBetweenHomesUsesTheWholeRate() {
    QuotaFleet fleet = new QuotaFleet(GROUPS, 6, ACCOUNT);
    fleet.advance(1_000);
    long start = fleet.now();
    for (int round = 0; round < 12; round++) {
      load(fleet, "a", round % GROUPS, 900, 3_000);
    }
    assertWithinLimit(fleet, ACCOUNT);
    assertServed(fleet, ACCOUNT, start, fleet.now());
  }

  @Test
  void testAccountWithoutBurstUsesTheWholeRate() {
    ClientAccount account = QuotaFleet.account("a", 40, 0);
    QuotaFleet fleet = new QuotaFleet(GROUPS, 6, account);
    load(fleet, "a", 0, 300, 20_000);
    assertWithinLimit(fleet, account);
    assertServed(fleet, account, fleet.now() - 10_000, fleet.now());
  }

  @Test
  void testFractionalRateIsServed() {
    ClientAccount account = QuotaFleet.account("a", 0.5, 1);
    QuotaFleet fleet = new QuotaFleet(GROUPS, 6, account);
    load(fleet, "a", 0, 20, 60_000);
    assertWithinLimit(fleet, account);
    assertServed(fleet, account, fleet.now() - 60_000, fleet.now());
  }

  @Test
  void testRateOfZeroRunsNoMoreThanTheBurst() {
    ClientAccount nothing = QuotaFleet.account("a", 0, 0);
    ClientAccount burst = QuotaFleet.account("b", 0, 12);
    QuotaFleet fleet = new QuotaFleet(GROUPS, 6, nothing, burst);
    loadAll(fleet, "a", 100, 10_000);
    loadAll(fleet, "b", 100, 10_000);
    assertEquals(0, fleet.sentBetween("a", 0, fleet.now()));
    assertTrue(fleet.sentBetween("b", 0, fleet.now()) <= 12);
  }

  @Test
  void testAccountWithoutRateIsNotLimited() {
    QuotaFleet fleet =
        new QuotaFleet(GROUPS, 6, QuotaFleet.account("a", Long.MAX_VALUE, Long.MAX_VALUE));
    for (int i = 0; i < 100; i++) {
      fleet.call("a", 0);
    }
    loadAll(fleet, "a", 3_000, 1_000);
    assertEquals(0, fleet.refusedCount("a"));
  }

  @Test
  void testNothingIsLimitedWithoutQuotaInTheRules() {
    QuotaFleet fleet = new QuotaFleet(null, GROUPS, 6, ACCOUNT);
    loadAll(fleet, "a", 3_000, 1_000);
    assertEquals(0, fleet.refusedCount("a"));
  }

  @Test
  void testSmallAccountIsNeverRefusedBesideHotOne() {
    ClientAccount small = QuotaFleet.account("small", 60, 60);
    QuotaFleet fleet = new QuotaFleet(GROUPS, 6, ACCOUNT, small);
    for (int i = 0; i < 20_000; i++) {
      if (i % 100 == 0) {
        fleet.call("small", i / 5_000);
      }
      fleet.call("a", i % GROUPS);
      fleet.advance(1);
    }
    assertEquals(0, fleet.refusedCount("small"));
    assertTrue(fleet.refusedCount("a") > 10_000);
  }

  @Test
  void testAccountBelowItsRateAtOneHomeIsNotRefused() {
    QuotaFleet fleet = new QuotaFleet(GROUPS, 6, ACCOUNT);
    fleet.advance(3_000);
    load(fleet, "a", 0, 100, 20_000);
    assertEquals(0, fleet.refusedCount("a"));
  }

  @Test
  void testSpentShareBorrowsAtOnce() {
    QuotaFleet fleet = new QuotaFleet(GROUPS, 6, ACCOUNT);
    fleet.advance(3_000);
    load(fleet, "a", 0, 1_000, 40);
    assertTrue(fleet.refusedCount("a") <= 5, fleet.refusedCount("a") + " refused");
  }

  @Test
  void testRetryTimesAreSpread() {
    QuotaFleet fleet = new QuotaFleet(GROUPS, 6, ACCOUNT);
    load(fleet, "a", 0, 900, 5_000);
    int before = fleet.refusedCount("a");
    for (int i = 0; i < 50; i++) {
      fleet.call("a", 0);
    }
    List<Long> delays = fleet.refusals.get("a").subList(before, fleet.refusedCount("a"));
    assertTrue(new HashSet<>(delays).size() > 40, delays.toString());
    assertTrue(delays.stream().allMatch(d -> d > 0 && d <= 2_000), delays.toString());
  }

  @Test
  void testOpenTransactionsContinueWhileNewWorkIsRefused() {
    QuotaFleet fleet = new QuotaFleet(GROUPS, 6, ACCOUNT);
    fleet.advance(1_000);
    int begun = 0;
    for (int i = 0; i < 20_000; i++) {
      boolean begins = fleet.begin("a", i % GROUPS);
      if (begins) {
        begun++;
        for (int statement = 1; statement <= 3; statement++) {
          int group = i % GROUPS;
          fleet.scheduler.schedule(
              Duration.ofMillis(10L * statement),
              () -> {
                if (!fleet.proceed("a", group)) {
                  fleet.refusals.computeIfAbsent("aborted", a -> new ArrayList<>()).add(0L);
                }
              });
        }
      }
      fleet.advance(1);
    }
    int aborted = fleet.refusedCount("aborted");
    assertWithinLimit(fleet, ACCOUNT);
    assertServed(fleet, ACCOUNT, fleet.now() - 10_000, fleet.now());
    assertTrue(aborted < 0.01 * begun, aborted + " aborted of " + begun);
  }

  @Test
  void testPlannedMoveOfHomesKeepsTheLimit() {
    QuotaFleet fleet = new QuotaFleet(GROUPS, 6, ACCOUNT);
    fleet.advance(10_000);
    for (int round = 0; round < 10; round++) {
      loadAll(fleet, "a", 900, 1_000);
      fleet.hand(round % GROUPS, (round * 5 + 1) % 6);
    }
    loadAll(fleet, "a", 900, 6_000);
    assertWithinLimit(fleet, ACCOUNT);
  }

  @Test
  void testFrozenHomeThatWakesKeepsTheLimit() {
    for (int frozenMillis : new int[] {500, 3_000, 8_500, 12_000}) {
      QuotaFleet fleet = new QuotaFleet(GROUPS, 3, ACCOUNT);
      fleet.advance(10_000);
      loadAll(fleet, "a", 900, 3_000);
      QuotaFleet.Host frozen = fleet.hosts.get(0);
      frozen.freeze();
      fleet.take(0, 1);
      loadAll(fleet, "a", 900, frozenMillis);
      frozen.thaw();
      loadAll(fleet, "a", 900, 8_000);
      assertWithinLimit(fleet, ACCOUNT);
    }
  }

  @Test
  void testRestartOfAllKeepsTheLimit() {
    QuotaFleet fleet = new QuotaFleet(GROUPS, 6, ACCOUNT);
    fleet.advance(10_000);
    loadAll(fleet, "a", 900, 200);
    for (int i = 0; i < 6; i++) {
      fleet.restart(i);
    }
    loadAll(fleet, "a", 900, 6_000);
    assertWithinLimit(fleet, ACCOUNT);
  }

  @Test
  void testLowerLimitHoldsOnceAllInstancesKnowIt() {
    QuotaFleet fleet = new QuotaFleet(GROUPS, 6, QuotaFleet.account("a", 600, 600));
    loadAll(fleet, "a", 900, 6_000);
    ClientAccount lower = QuotaFleet.account("a", 20, 20);
    fleet.declare(2, 100, lower);
    loadAll(fleet, "a", 900, 600);
    long known = fleet.now();
    loadAll(fleet, "a", 900, 10_000);
    assertTrue(fleet.mostInWindow("a", known) <= QuotaFleet.allowed(lower));
    assertServed(fleet, lower, fleet.now() - 5_000, fleet.now());
  }

  @Test
  void testHigherLimitIsServed() {
    QuotaFleet fleet = new QuotaFleet(GROUPS, 6, QuotaFleet.account("a", 20, 20));
    loadAll(fleet, "a", 900, 6_000);
    ClientAccount higher = QuotaFleet.account("a", 300, 300);
    fleet.declare(2, 100, higher);
    loadAll(fleet, "a", 900, 10_000);
    assertWithinLimit(fleet, higher);
    assertServed(fleet, higher, fleet.now() - 5_000, fleet.now());
  }

  @Test
  void testInstancesThatAreCutOffSpendTheirOwnSharesOnly() {
    QuotaFleet fleet = new QuotaFleet(GROUPS, 6, ACCOUNT);
    fleet.advance(3_000);
    fleet.hosts.get(0).cutFrom.addAll(List.of(1, 2, 3, 4, 5));
    loadAll(fleet, "a", 900, 10_000);
    assertWithinLimit(fleet, ACCOUNT);
    assertServed(fleet, ACCOUNT, fleet.now() - 5_000, fleet.now());
  }

  @Test
  void testHomeThatWakesAfterItsLeaseNeitherRunsNorLends() {
    QuotaFleet fleet = new QuotaFleet(1, 2, ACCOUNT);
    fleet.advance(5_000);
    QuotaFleet.Host frozen = fleet.hosts.get(0);
    frozen.freeze();
    fleet.take(0, 1);
    fleet.advance(QuotaFleet.LEASE_MILLIS + 1);
    frozen.frozen = false;
    assertFalse(frozen.call("a", StatementPhase.SINGLE));
    assertTrue(frozen.quota.lend(Map.of("a", 10.0)).isEmpty());
  }
}

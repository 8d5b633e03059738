package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an account that takes the slots of the others: one account sends 7.5 times its
 * usual for six seconds ({@code hot_tenant}). Runs in virtual time with fixed seeds.
 */
final class HotAccountLoadTest {

  private static final double HOT_FACTOR = 7.5;
  private static final int HOT_MILLIS = 6_000;

  /** How much slower than usual the others' 99th percentile may be. */
  private static final double MAX_SLOWDOWN = 1.2;

  private static AccountLoad load(long seed, double... routeShares) {
    AccountLoad load = new AccountLoad(seed, routeShares);
    load.declare("hot", 1, 150);
    for (int i = 0; i < 6; i++) {
      load.declare("other-" + i, 1, 50);
    }
    load.run(2_000, "hot", 1);
    return load;
  }

  private static long p99OfOthers(long seed, double factor, double... routeShares) {
    AccountLoad load = load(seed, routeShares);
    int before = load.sent();
    load.run(HOT_MILLIS, "hot", factor);
    load.fixture.advance(3_000);
    return load.p99Millis(id -> id.startsWith("other") && AccountLoad.numberOf(id) >= before);
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void testOthersAreNotSlowedOnOneRoute(long seed) {
    long calm = p99OfOthers(seed, 1, 0, 0, 1);
    long hot = p99OfOthers(seed, HOT_FACTOR, 0, 0, 1);
    assertWithMessage("p99 while hot in ms, calm %s", calm)
        .that((double) hot)
        .isAtMost(MAX_SLOWDOWN * calm);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
  void testOthersAreNotSlowedOnThreeRoutes(long seed) {
    long calm = p99OfOthers(seed, 1, 0.2, 0.3, 0.5);
    long hot = p99OfOthers(seed, HOT_FACTOR, 0.2, 0.3, 0.5);
    assertWithMessage("p99 while hot in ms, calm %s", calm)
        .that((double) hot)
        .isAtMost(MAX_SLOWDOWN * calm);
  }

  @Test
  void testOnlyTheHotAccountIsRefused() {
    AccountLoad load = load(1, 0, 0, 1);
    load.run(HOT_MILLIS, "hot", HOT_FACTOR);
    load.fixture.advance(3_000);
    assertThat(load.countRefused(id -> id.startsWith("hot"))).isGreaterThan(100);
    assertThat(load.countRefused(id -> id.startsWith("other"))).isEqualTo(0);
  }

  @Test
  void testHotAccountGetsWhatOthersLeave() {
    AccountLoad load = load(1, 0, 0, 1);
    int before = load.sent();
    load.run(HOT_MILLIS, "hot", HOT_FACTOR);
    load.fixture.advance(3_000);
    // Nine slots serve 900 statements of 10 ms in a second, and the others send 300 of them.
    assertThat(load.countDone(id -> id.startsWith("hot") && AccountLoad.numberOf(id) >= before))
        .isAtLeast(6 * 400);
  }

  @Test
  void testAccountsOfOneRateGetEqualSharesUnderLastingOverload() {
    AccountLoad load = new AccountLoad(3, 0, 0, 1);
    load.declare("one", 1, 150);
    load.declare("two", 1, 150);
    load.run(1_000, "*", 1);
    int before = load.sent();
    for (int i = 0; i < 600; i++) {
      load.run(10, "one", 12);
    }
    load.fixture.advance(3_000);
    long two = load.countDone(id -> id.startsWith("two") && AccountLoad.numberOf(id) >= before);
    long sentByTwo = two + load.countRefused(id -> id.startsWith("two"));
    assertThat(two).isEqualTo(sentByTwo);
  }
}

package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against less urgent statements that are never served, and against urgent ones that wait
 * for them, while all priorities send too much. Runs in virtual time with fixed seeds.
 */
final class StarvedPriorityTest {

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void testEveryPriorityIsServedUnderLastingFlood(long seed) {
    AccountLoad load = new AccountLoad(seed, 0, 0.8, 0.2);
    for (int priority = 0; priority < 3; priority++) {
      load.declare("account-" + priority, priority, 600);
    }
    load.run(1_000, "*", 1);
    int before = load.sent();
    load.run(6_000, "*", 1);
    load.fixture.advance(3_000);
    for (int priority = 0; priority < 3; priority++) {
      for (int route = 1; route < 3; route++) {
        String prefix = "account-" + priority + "/" + route;
        assertWithMessage(prefix)
            .that(load.countDone(id -> id.startsWith(prefix) && AccountLoad.numberOf(id) >= before))
            .isGreaterThan(0);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void testMostUrgentStatementsStayInTargetInBurst(long seed) {
    double calm = shareOfUrgentInTarget(seed, 1);
    assertThat(shareOfUrgentInTarget(seed, 1.7)).isAtLeast(calm);
  }

  private static double shareOfUrgentInTarget(long seed, double factor) {
    AccountLoad load = new AccountLoad(seed, 0.15, 0.25, 0.6);
    for (int i = 0; i < 10; i++) {
      load.declare("account-" + i, i % 3, 70);
    }
    load.run(2_000, "*", 1);
    int before = load.sent();
    load.run(6_000, "*", factor);
    load.fixture.advance(3_000);
    return load.shareInTarget(
        id -> AccountLoad.routeOf(id) == 0 && AccountLoad.numberOf(id) >= before);
  }
}

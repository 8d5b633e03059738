package org.chicorylane.internal.failover;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.chicorylane.internal.failover.FailoverModel.Mutation;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a delayed compare-and-swap that changes the record after its seals were undone: a
 * promoter dies after sending its swap, the primary returns, the next home undoes the seals, and
 * only then does the swap arrive. The fence that the next home writes must make it fail.
 */
final class LateSwapTest {

  @ParameterizedTest
  @CsvSource({"NONE,false", "SWAP_IGNORES_REVISION,true", "FENCE_HAS_NO_EFFECT,true"})
  void testLateSwapOfDeadPromoterIsHarmlessUnlessRuleIsBroken(
      Mutation mutation, boolean isViolationExpected) {
    FailoverModel model = new FailoverModel(1, 3, 3, mutation);
    model.prefer("i0");
    model.runFor(1_000);
    model.swapDelayMicros = 4_000 * FailoverModel.MILLI;
    model.servers.get("s0").kill();
    while (!model.firstActions.containsKey(HomeAction.Seal.class)) {
      model.runFor(1);
    }
    model.runFor(100);
    model.swapDelayMicros = 0;
    model.servers.get("s0").alive = true;
    model.servers.get("s1").lagMicros = 400 * FailoverModel.MILLI;
    model.instances.get(0).alive = false;
    model.servers.values().forEach(s -> List.copyOf(s.sessions).forEach(s::end));
    model.prefer("i1");
    model.runFor(2_500);
    final long acknowledgedBefore = model.lastAcknowledged;
    model.runFor(3_000);
    assertWithMessage(model.describe())
        .that(model.violations.isEmpty())
        .isEqualTo(!isViolationExpected);
    if (!isViolationExpected) {
      assertThat(model.stored.record().term()).isEqualTo(1);
      assertThat(model.lastAcknowledged).isGreaterThan(acknowledgedBefore);
    }
  }
}

package org.chicorylane.internal.election;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Tests when an ordered promotion can no longer take effect. If another server is used too early,
 * the order rolls back what that server acknowledges.
 */
final class PromotionOrdersTest {

  private final PromotionOrders orders = new PromotionOrders();

  private static long seconds(long seconds) {
    return Duration.ofSeconds(seconds).toNanos();
  }

  @Test
  void testOrderThatWasRejectedAtOnceIsForgotten() {
    orders.onSent("b", seconds(1));
    orders.onOutcome("b", Promoter.Outcome.REJECTED, seconds(1));
    assertThat(orders.state(seconds(1))).isNull();
  }

  // Incident 23: an order without an answer took effect after another server had been promoted.
  @Test
  void testUnansweredOrderPermitsNoOtherServerUntilItExpires() {
    orders.onSent("b", seconds(1));
    orders.onOutcome("b", Promoter.Outcome.UNKNOWN, seconds(2));
    assertThat(orders.permits("c", seconds(8))).isFalse();
    assertThat(orders.permits("b", seconds(8))).isTrue();
    assertThat(orders.state(seconds(10)).expired()).isTrue();
    assertThat(orders.permits("c", seconds(10))).isFalse();
  }

  @Test
  void testRejectionRightAfterAcceptedOrderPermitsNoOtherServer() {
    orders.onSent("b", seconds(1));
    orders.onOutcome("b", Promoter.Outcome.ACCEPTED, seconds(1));
    orders.onSent("b", seconds(2));
    orders.onOutcome("b", Promoter.Outcome.REJECTED, seconds(2));
    assertThat(orders.permits("c", seconds(2))).isFalse();
  }

  @Test
  void testRejectionAfterEffectLimitPermitsOtherServer() {
    orders.onSent("b", seconds(1));
    orders.onOutcome("b", Promoter.Outcome.ACCEPTED, seconds(1));
    orders.onSent("b", seconds(5));
    orders.onOutcome("b", Promoter.Outcome.REJECTED, seconds(5));
    assertThat(orders.permits("c", seconds(5))).isTrue();
  }

  // Incident 23: an unanswered order may still be carried out after a later one was rejected.
  @Test
  void testRejectionDoesNotEndEarlierOrderWithoutAnswer() {
    orders.onSent("b", seconds(1));
    orders.onOutcome("b", Promoter.Outcome.UNKNOWN, seconds(2));
    orders.onSent("b", seconds(5));
    orders.onOutcome("b", Promoter.Outcome.REJECTED, seconds(5));
    assertThat(orders.state(seconds(8)).expired()).isFalse();
    assertThat(orders.state(seconds(10)).expired()).isTrue();
  }

  @Test
  void testLifetimeOfInheritedOrderBeginsWhenItsSenderIsExcluded() {
    orders.inherit("b", seconds(1));
    orders.onSenderExcluded(seconds(7));
    orders.onSenderExcluded(seconds(9));
    assertThat(orders.state(seconds(14)).expired()).isFalse();
    assertThat(orders.state(seconds(16)).expired()).isTrue();
  }

  @Test
  void testOnlyOrderThatTookEffectIsForgotten() {
    orders.onSent("b", seconds(1));
    orders.onOutcome("b", Promoter.Outcome.ACCEPTED, seconds(1));
    orders.onNewPrimary("b");
    assertThat(orders.state(seconds(1))).isNull();
  }

  // Incident 23: a repeated order was carried out after the promoted server had been replaced.
  @Test
  void testRepeatedOrderIsRememberedAfterFirstTookEffect() {
    orders.onSent("b", seconds(1));
    orders.onOutcome("b", Promoter.Outcome.UNKNOWN, seconds(2));
    orders.onSent("b", seconds(2));
    orders.onOutcome("b", Promoter.Outcome.ACCEPTED, seconds(2));
    orders.onNewPrimary("b");
    assertThat(orders.permits("c", seconds(5))).isFalse();
    assertThat(orders.permits("c", seconds(11))).isTrue();
  }

  @Test
  void testInheritedOrderDoesNotExpireBeforeItsSenderIsExcluded() {
    orders.inherit("b", seconds(1));
    assertThat(orders.permits("c", seconds(60))).isFalse();
  }

  @Test
  void testRepeatIsDueOnceAfterEffectLimit() {
    orders.onSent("b", seconds(1));
    orders.onOutcome("b", Promoter.Outcome.ACCEPTED, seconds(1));
    assertThat(orders.state(seconds(3)).repeatDue()).isFalse();
    assertThat(orders.state(seconds(5)).repeatDue()).isTrue();
    orders.onRepeat();
    assertThat(orders.state(seconds(5)).repeatDue()).isFalse();
  }

  @Test
  void testAnsweredOrderIsNotOnItsWay() {
    orders.onSent("b", seconds(1));
    assertThat(orders.isUnanswered(seconds(1))).isTrue();
    orders.onOutcome("b", Promoter.Outcome.ACCEPTED, seconds(1));
    assertThat(orders.isUnanswered(seconds(1))).isFalse();
  }

  @Test
  void testOrderWithoutAnswerCountsAsOnItsWayForThreeSeconds() {
    orders.onSent("b", seconds(1));
    orders.onOutcome("b", Promoter.Outcome.UNKNOWN, seconds(2));
    assertThat(orders.isUnanswered(seconds(4))).isTrue();
    assertThat(orders.isUnanswered(seconds(5))).isFalse();
  }
}

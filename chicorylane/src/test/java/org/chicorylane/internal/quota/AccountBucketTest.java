package org.chicorylane.internal.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class AccountBucketTest {

  private static final QuotaMargins MARGINS = new QuotaMargins(20, 24, 2);
  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final double DEVIATION = 1e-3;

  private long now = SECOND;
  private final AccountBucket bucket = new AccountBucket(now);

  @Test
  void testStartsEmpty() {
    bucket.setShare(MARGINS, 1, now);
    assertEquals(0, bucket.balance());
  }

  @Test
  void testFillsForTheHeldGroupsUpToTheCapacity() {
    bucket.setShare(MARGINS, 2, now);
    now += SECOND;
    bucket.setShare(MARGINS, 2, now);
    assertEquals(40, bucket.balance(), DEVIATION);
    now += SECOND;
    bucket.setShare(MARGINS, 2, now);
    assertEquals(48, bucket.balance(), DEVIATION);
  }

  @Test
  void testTimeWithoutShareDoesNotFill() {
    bucket.setShare(MARGINS, 0, now);
    now += 10 * SECOND;
    bucket.setShare(MARGINS, 1, now);
    bucket.lend(0, now);
    assertEquals(0, bucket.balance());
  }

  @Test
  void testLostShareTakesItsTokens() {
    bucket.setShare(MARGINS, 1, now);
    now += SECOND;
    bucket.setShare(MARGINS, 0, now);
    assertEquals(0, bucket.balance());
    assertFalse(bucket.take(StatementPhase.SINGLE, now));
  }

  @Test
  void testEndedLoanFallsIntoTheBucketUpToTheCapacity() {
    bucket.setShare(MARGINS, 1, now);
    bucket.borrow(100, now, now);
    assertEquals(100, bucket.balance(), DEVIATION);
    now += QuotaMargins.LOAN_VALIDITY.toNanos();
    bucket.lend(0, now);
    assertEquals(24, bucket.balance(), DEVIATION);
  }

  @Test
  void testLoanThatArrivesLateIsDropped() {
    bucket.setShare(MARGINS, 1, now);
    bucket.borrow(10, now - QuotaMargins.LOAN_VALIDITY.toNanos(), now);
    assertEquals(0, bucket.balance());
  }

  @Test
  void testLentTokensAreTakenOut() {
    bucket.setShare(MARGINS, 1, now);
    now += SECOND;
    assertEquals(15, bucket.lend(15, now), DEVIATION);
    assertEquals(5, bucket.lend(15, now), DEVIATION);
  }

  @Test
  void testBusyBucketKeepsNoMoreThanItsOwnShareNeeds() {
    bucket.setShare(MARGINS, 1, now);
    now += 2 * SECOND;
    for (int i = 0; i < 100; i++) {
      bucket.recordDemand(now);
    }
    assertEquals(22, bucket.lend(24, now), DEVIATION);
  }

  @Test
  void testLaterStatementsOverdrawUpToTheDebt() {
    bucket.setShare(MARGINS, 1, now);
    assertTrue(bucket.take(StatementPhase.LATER, now));
    assertTrue(bucket.take(StatementPhase.LATER, now));
    assertFalse(bucket.take(StatementPhase.SINGLE, now));
    assertFalse(bucket.take(StatementPhase.LATER, now));
  }

  @Test
  void testNewWorkPaysTheDebt() {
    bucket.setShare(MARGINS, 1, now);
    bucket.take(StatementPhase.LATER, now);
    bucket.take(StatementPhase.LATER, now);
    now += SECOND / 20;
    assertFalse(bucket.take(StatementPhase.SINGLE, now));
    now += SECOND / 20;
    assertTrue(bucket.take(StatementPhase.SINGLE, now));
  }
}

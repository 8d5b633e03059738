package org.chicorylane.internal.quota;

import java.time.Duration;
import org.chicorylane.internal.account.AccountRules;
import org.chicorylane.internal.account.ClientAccount;

/**
 * How an account's limit and the tolerance of the deployment are divided among the database groups.
 *
 * <p>Immutable.
 *
 * @param fillPerSecond the tokens that a group's share gains per second
 * @param capacity the most tokens that a group's share holds
 * @param maximumDebt the tokens by which running transactions may overdraw a group's share
 */
record QuotaMargins(double fillPerSecond, double capacity, double maximumDebt) {

  /**
   * Time after the request for a loan within which its tokens are spent or fall into the bucket.
   */
  static final Duration LOAN_VALIDITY = Duration.ofMillis(250);

  /** Extra capacity, as a time at the account's rate, so that small bursts can be spent evenly. */
  private static final double EXTRA_CAPACITY_SECONDS = 0.2;

  /** Part of the overage on the burst that may be debt. */
  private static final double DEBT_PER_OVERAGE = 0.4;

  /** Part of the slack that may be debt, after one statement for each group. */
  private static final double DEBT_PER_SLACK = 0.5;

  /**
   * Returns the share of one of {@code groups} groups in the limit of {@code account}. What the
   * tolerance leaves beside the capacity and the debts is added to the rate. It has room for the
   * debts twice, because a new holder does not know those of the previous one, or for the last
   * statement of each holder, which may be sent with an empty bucket.
   */
  static QuotaMargins of(ClientAccount account, AccountRules.Quota quota, int groups) {
    double rate = account.ratePerSecond();
    double burst = account.burst();
    double windowSeconds = quota.window().toMillis() / 1e3;
    double extraSeconds = Math.min(EXTRA_CAPACITY_SECONDS, quota.overage() * windowSeconds / 2.5);
    double debt =
        rate == 0
            ? 0
            : DEBT_PER_OVERAGE * quota.overage() * burst
                + DEBT_PER_SLACK * Math.max(0, quota.slack() - groups);
    double capacity = burst + rate * extraSeconds;
    double allowed = (rate * windowSeconds + burst) * (1 + quota.overage()) + quota.slack();
    double spendable = allowed - capacity - debt - Math.max(debt, groups);
    double fill =
        rate == 0
            ? 0
            : Math.max(rate, spendable / (windowSeconds + LOAN_VALIDITY.toMillis() / 1e3));
    return new QuotaMargins(fill / groups, capacity / groups, debt / groups);
  }
}

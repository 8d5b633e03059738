package org.chicorylane.internal.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * The tokens of one account at one instance: a token bucket that is filled for the groups whose
 * home the instance is, and loans from other instances that end after a short time.
 *
 * <pre>{@code
 * bucket.setShare(margins, heldGroups, now);
 * if (!bucket.take(true, now)) {
 *   refuse(bucket.retryMillis(now));
 * }
 * }</pre>
 *
 * <p>Starts empty, because the tokens of an earlier home may just have been spent. A statement may
 * be run while the balance is not negative, so that shares of less than one token can be used.
 * Confined to the instance's thread.
 */
final class AccountBucket {

  /** Time at the recent rate of demand for which tokens are kept instead of lent. */
  private static final double KEPT_SECONDS = 0.1;

  /** Time at the recent rate of demand for which tokens are borrowed. */
  private static final double BORROWED_SECONDS = 0.15;

  /** Time at their recent rate for which tokens are kept for statements of open transactions. */
  private static final double CONTINUATION_SECONDS = 0.1;

  /** The longest delay after which refused callers are told to retry. */
  private static final double MAX_RETRY_NANOS = 2e9;

  private static final double SECOND_NANOS = 1e9;
  private static final double MILLISECOND_NANOS = 1e6;

  /**
   * Tokens that another instance lent.
   *
   * @param endsNanos the time at which they fall into the bucket, as far as it has room
   */
  private record Loan(double amount, long endsNanos) {}

  private final DecayingRate demand;
  private final DecayingRate continuations;
  private final DecayingRate served;
  private final Deque<Loan> loans = new ArrayDeque<>();
  private double fillPerSecond;
  private double capacity;
  private double maximumDebt;
  private double tokens;
  private double lent;
  private long filledNanos;
  private long retryNanos;
  private long lastLoanNanos;
  private boolean everBorrowed;

  AccountBucket(long nowNanos) {
    this.filledNanos = nowNanos;
    this.retryNanos = nowNanos;
    this.demand = new DecayingRate(nowNanos);
    this.continuations = new DecayingRate(nowNanos);
    this.served = new DecayingRate(nowNanos);
  }

  /**
   * Sets the limits from now on. Tokens beyond the new capacity are lost.
   *
   * @param margins the share of one group
   * @param heldGroups the number of groups for which this instance alone may spend tokens
   */
  void setShare(QuotaMargins margins, int heldGroups, long nowNanos) {
    settle(nowNanos);
    fillPerSecond = margins.fillPerSecond() * heldGroups;
    capacity = margins.capacity() * heldGroups;
    maximumDebt = margins.maximumDebt() * Math.max(1, heldGroups);
    tokens = Math.min(tokens, capacity);
  }

  /** Returns whether a new statement or transaction may start now. */
  boolean hasRoom(long nowNanos) {
    settle(nowNanos);
    boolean canRefill = fillPerSecond > 0 || lent > 0;
    return balance() >= (canRefill ? keptForContinuations(nowNanos) : 1);
  }

  /**
   * Takes a token for a statement that is about to be sent.
   *
   * @param isNew whether it starts a transaction or is outside of one; other statements may use
   *     tokens that are kept for them, and overdraw the bucket
   * @return whether the statement may be sent
   */
  boolean take(boolean isNew, long nowNanos) {
    boolean allowed = isNew ? hasRoom(nowNanos) : mayContinue(nowNanos);
    if (!isNew) {
      continuations.add(nowNanos);
    }
    if (allowed) {
      served.add(nowNanos);
      spend();
    }
    return allowed;
  }

  private boolean mayContinue(long nowNanos) {
    settle(nowNanos);
    return balance() > -maximumDebt;
  }

  private double keptForContinuations(long nowNanos) {
    return Math.min(capacity / 2, continuations.perSecond(nowNanos) * CONTINUATION_SECONDS);
  }

  /** Spends one token, of the loan that ends first if there is one. */
  private void spend() {
    double left = 1;
    while (left > 0 && !loans.isEmpty()) {
      Loan loan = loans.removeFirst();
      double used = Math.min(left, loan.amount());
      left -= used;
      lent -= used;
      if (loan.amount() > used) {
        loans.addFirst(new Loan(loan.amount() - used, loan.endsNanos()));
      }
    }
    lent = loans.isEmpty() ? 0 : lent;
    tokens -= left;
  }

  /** Notes that a caller asks for a statement, whether or not it is run. */
  void recordDemand(long nowNanos) {
    demand.add(nowNanos);
  }

  /** Returns the number of tokens that this instance would borrow, 0 if it has enough. */
  double wanted(long nowNanos) {
    settle(nowNanos);
    double rate = demand.perSecond(nowNanos);
    if (rate * KEPT_SECONDS < balance() && balance() > 0) {
      return 0;
    }
    double target = Math.max(rate * BORROWED_SECONDS, balance() < 0 ? 0 : Math.min(1, rate));
    return Math.max(0, target - balance());
  }

  /** Takes out up to {@code asked} tokens that this instance does not need, and returns them. */
  double lend(double asked, long nowNanos) {
    settle(nowNanos);
    double kept = demand.perSecond(nowNanos) * KEPT_SECONDS;
    double amount = Math.max(0, Math.min(asked, tokens - kept));
    tokens -= amount;
    return amount;
  }

  /** Adds tokens that another instance lent at or after {@code askedNanos}. */
  void borrow(double amount, long askedNanos, long nowNanos) {
    settle(nowNanos);
    long endsNanos = askedNanos + QuotaMargins.LOAN_VALIDITY.toNanos();
    if (amount <= 0 || nowNanos >= endsNanos) {
      return;
    }
    everBorrowed = true;
    lastLoanNanos = nowNanos;
    double repaid = Math.min(amount, Math.max(0, -tokens));
    tokens += repaid;
    if (amount > repaid) {
      loans.addLast(new Loan(amount - repaid, endsNanos));
      lent += amount - repaid;
    }
  }

  /**
   * Returns the delay in milliseconds after which a caller that is refused now may expect a token.
   * Callers that are refused one after the other get successive delays.
   */
  long retryMillis(long nowNanos) {
    settle(nowNanos);
    double rate = Math.max(fillPerSecond, served.perSecond(nowNanos));
    double tokenNanos = rate > 0 ? SECOND_NANOS / rate : MAX_RETRY_NANOS;
    double step = Math.min(tokenNanos, MAX_RETRY_NANOS);
    if (retryNanos < nowNanos || retryNanos + step > nowNanos + MAX_RETRY_NANOS) {
      double missing = Math.max(0, keptForContinuations(nowNanos) - balance());
      retryNanos = nowNanos + (long) Math.min(MAX_RETRY_NANOS - step, missing * tokenNanos);
    }
    retryNanos += (long) step;
    return (long) Math.ceil((retryNanos - nowNanos) / MILLISECOND_NANOS);
  }

  /** Returns the tokens that are left, negative if the account has overdrawn its share. */
  double balance() {
    return tokens + lent;
  }

  /** Returns the time in milliseconds since the last loan, null if there was none. */
  @Nullable Long lastLoanMillis(long nowNanos) {
    return everBorrowed ? (long) ((nowNanos - lastLoanNanos) / MILLISECOND_NANOS) : null;
  }

  private void settle(long nowNanos) {
    double seconds = (nowNanos - filledNanos) / SECOND_NANOS;
    filledNanos = nowNanos;
    tokens = Math.min(capacity, tokens + seconds * fillPerSecond);
    while (!loans.isEmpty() && loans.getFirst().endsNanos() <= nowNanos) {
      double unused = loans.removeFirst().amount();
      lent = loans.isEmpty() ? 0 : lent - unused;
      tokens = Math.min(capacity, tokens + unused);
    }
  }
}

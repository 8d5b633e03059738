package org.chicorylane.internal.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * The tokens of one account at one instance: a token bucket that is filled for the groups whose
 * home the instance is, and loans from other instances that end after a short time.
 *
 * <pre>{@code
 * bucket.setShare(margins, heldGroups, now);
 * if (!bucket.take(StatementPhase.SINGLE, now)) {
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

  /** Time over which the rate of demand is averaged. */
  private static final Duration DEMAND_TIME = Duration.ofMillis(250);

  /** Time over which the rate of served statements is averaged. */
  private static final Duration SERVED_TIME = Duration.ofSeconds(1);

  /** Time over which the length of transactions is averaged. */
  private static final Duration TRANSACTION_TIME = Duration.ofSeconds(10);

  /** Time after which tokens kept for a transaction that does not continue are 1/e of them. */
  private static final double KEPT_DECAY_NANOS = 1e9;

  /** Later statements that a transaction is expected to have before any was observed. */
  private static final double EXPECTED_LATER_STATEMENTS = 3;

  private static final double MIN_EXPECTED_LATER = 0.1;

  /** Deviation of sums of fractions of tokens from whole ones. */
  private static final double ROUNDING = 1e-6;

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
  private final DecayingRate transactions;
  private final DecayingRate laterStatements;
  private final DecayingRate served;
  private final Deque<Loan> loans = new ArrayDeque<>();
  private double fillPerSecond;
  private double capacity;
  private double maximumDebt;
  private double tokens;
  private double lent;

  /** The tokens that are kept for later statements of open transactions. */
  private double keptForLater;

  private double lastExpectedLater = EXPECTED_LATER_STATEMENTS;

  private long filledNanos;
  private long retryNanos;
  private long lastLoanNanos;
  private boolean everBorrowed;

  AccountBucket(long nowNanos) {
    this.filledNanos = nowNanos;
    this.retryNanos = nowNanos;
    this.demand = new DecayingRate(DEMAND_TIME, nowNanos);
    this.transactions = new DecayingRate(TRANSACTION_TIME, nowNanos);
    this.laterStatements = new DecayingRate(TRANSACTION_TIME, nowNanos);
    this.served = new DecayingRate(SERVED_TIME, nowNanos);
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

  /** Returns whether a statement that does not continue a transaction may be sent now. */
  boolean hasRoom(StatementPhase phase, long nowNanos) {
    settle(nowNanos);
    return balance() >= neededBalance(phase, nowNanos) - ROUNDING;
  }

  /** Returns the balance at which a statement that does not continue a transaction may be sent. */
  private double neededBalance(StatementPhase phase, long nowNanos) {
    boolean canRefill = fillPerSecond > 0 || lent > 0;
    if (!canRefill) {
      return 1;
    }
    return phase == StatementPhase.FIRST
        ? keptForLater + Math.min(capacity / 2, expectedLaterStatements(nowNanos))
        : keptForLater;
  }

  /**
   * Takes a token for a statement that is about to be sent.
   *
   * @param phase its place in its transaction; later statements of one may use the tokens that are
   *     kept for them, and overdraw the bucket
   * @return whether the statement may be sent
   */
  boolean take(StatementPhase phase, long nowNanos) {
    boolean allowed =
        phase == StatementPhase.LATER ? mayContinue(nowNanos) : hasRoom(phase, nowNanos);
    if (phase == StatementPhase.LATER) {
      laterStatements.add(nowNanos);
      keptForLater = Math.max(0, keptForLater - 1);
    }
    if (allowed) {
      if (phase == StatementPhase.FIRST) {
        double expected = expectedLaterStatements(nowNanos);
        keptForLater += expected;
        lastExpectedLater = Math.max(MIN_EXPECTED_LATER, expected);
        transactions.add(nowNanos);
      }
      served.add(nowNanos);
      spend();
    }
    return allowed;
  }

  /** Returns how many later statements a transaction has, as observed in those that have ended. */
  private double expectedLaterStatements(long nowNanos) {
    double seconds = TRANSACTION_TIME.toMillis() / 1e3;
    double open = keptForLater / lastExpectedLater;
    double ended = Math.max(0, transactions.perSecond(nowNanos) * seconds - open);
    double later = laterStatements.perSecond(nowNanos) * seconds;
    return (later + EXPECTED_LATER_STATEMENTS) / (ended + 1);
  }

  private boolean mayContinue(long nowNanos) {
    settle(nowNanos);
    return balance() > -maximumDebt;
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
    double kept = Math.min(fillPerSecond, demand.perSecond(nowNanos)) * KEPT_SECONDS + keptForLater;
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
      double missing = Math.max(0, keptForLater - balance());
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
    keptForLater *= Math.exp(-seconds * SECOND_NANOS / KEPT_DECAY_NANOS);
    while (!loans.isEmpty() && loans.getFirst().endsNanos() <= nowNanos) {
      double unused = loans.removeFirst().amount();
      lent = loans.isEmpty() ? 0 : lent - unused;
      tokens = Math.min(capacity, tokens + unused);
    }
  }
}

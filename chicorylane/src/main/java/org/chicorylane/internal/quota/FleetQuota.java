package org.chicorylane.internal.quota;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.chicorylane.internal.account.AccountRules;
import org.chicorylane.internal.account.ClientAccount;
import org.chicorylane.internal.account.ClientAccounts;
import org.chicorylane.internal.pool.StatementQuota;
import org.chicorylane.internal.pool.Work;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.topology.Configuration;
import org.jspecify.annotations.Nullable;

/**
 * One instance's part in the limits of client accounts. Each database group has an equal share of
 * each account's limit, which the group's home spends. An instance whose callers need more borrows
 * tokens that the homes of other groups do not use.
 *
 * <pre>{@code
 * FleetQuota quota = new FleetQuota(rules.quota(), configuration::current, homes, lenders, ...);
 * scheduler.repeat(interval, quota::tick);
 * StatementQuota.Refusal refusal = quota.take(work);
 * }</pre>
 *
 * <p>Limits nothing without a quota in the deployment's rules, and for accounts without a rate.
 * Confined to the instance's thread.
 */
public final class FleetQuota implements StatementQuota {

  /** Tells for which groups this instance, and no other one, may spend tokens. */
  public interface Homes {
    /** Returns the number of groups whose share in the limits this instance holds now. */
    int heldGroups();

    /** Returns the numbers of groups by the address of their home, without this instance. */
    Map<String, Integer> otherHomes();
  }

  /** Asks other instances for tokens. */
  public interface Lenders {
    /**
     * Asks for tokens.
     *
     * @param address the address of the instance that is asked
     * @param amounts the tokens that are wanted, by account
     * @param timeout the time after which no answer is expected
     * @param handler called once with the tokens that are lent, by account; null if there is no
     *     answer
     */
    void ask(
        String address,
        Map<String, Double> amounts,
        Duration timeout,
        Consumer<@Nullable Map<String, Double>> handler);
  }

  /** Longest time for which the number of held groups is used without being determined again. */
  private static final long HELD_GROUPS_MAX_AGE_NANOS = Duration.ofMillis(60).toNanos();

  /** Rates and bursts from here on limit nothing. */
  private static final double UNLIMITED = 1e12;

  /** Minimum time between two rounds of questions that shortage causes. */
  private static final long MIN_ASK_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();

  private static final int MAX_ACCOUNTS_PER_QUESTION = 200;

  private final AccountRules.@Nullable Quota rules;
  private final Supplier<@Nullable Configuration> configuration;
  private final Homes homes;
  private final Lenders lenders;
  private final Scheduler scheduler;
  private final DecisionLog log;
  private final Counter refused;
  private final Counter borrowed;
  private final Counter lent;
  private final Map<String, AccountBucket> buckets = new HashMap<>();

  /** The accounts that asked for statements since the last tick at which they wanted no loan. */
  private final Set<String> active = new HashSet<>();

  private final Set<String> askedAddresses = new HashSet<>();
  private long appliedVersion;
  private int heldGroups;
  private long heldGroupsNanos;
  private long lastAskNanos;

  /**
   * Creates a quota.
   *
   * @param rules how strictly the limits are enforced, null if they are not
   * @param configuration returns the configuration in force, null before the first one
   */
  public FleetQuota(
      AccountRules.@Nullable Quota rules,
      Supplier<@Nullable Configuration> configuration,
      Homes homes,
      Lenders lenders,
      Scheduler scheduler,
      DecisionLog log,
      MetricRegistry metrics) {
    this.rules = rules;
    this.configuration = configuration;
    this.homes = homes;
    this.lenders = lenders;
    this.scheduler = scheduler;
    this.log = log;
    this.refused = metrics.counter("quota.refused");
    this.borrowed = metrics.counter("quota.loans_taken");
    this.lent = metrics.counter("quota.loans_given");
    this.lastAskNanos = scheduler.nanoTime();
    this.heldGroupsNanos = scheduler.nanoTime() - 2 * HELD_GROUPS_MAX_AGE_NANOS;
  }

  @Override
  public @Nullable Refusal checkNew(Work work) {
    AccountBucket bucket = find(work.account());
    if (bucket == null) {
      return null;
    }
    long now = scheduler.nanoTime();
    active.add(work.account());
    bucket.recordDemand(now);
    return bucket.hasRoom(StatementPhase.of(work), now) ? null : refuse(work, bucket, now);
  }

  @Override
  public @Nullable Refusal take(Work work) {
    AccountBucket bucket = find(work.account());
    if (bucket == null) {
      return null;
    }
    long now = scheduler.nanoTime();
    StatementPhase phase = StatementPhase.of(work);
    if (phase == StatementPhase.LATER) {
      active.add(work.account());
      bucket.recordDemand(now);
    }
    boolean allowed = bucket.take(phase, now);
    if (bucket.balance() < 1 && now - lastAskNanos > MIN_ASK_INTERVAL_NANOS) {
      askForLoans();
    }
    return allowed ? null : refuse(work, bucket, now);
  }

  private Refusal refuse(Work work, AccountBucket bucket, long now) {
    long retryMillis = bucket.retryMillis(now);
    refused.inc();
    log.event(DecisionLog.Priority.FAILURE, "over-quota")
        .with("request", work.requestId())
        .with("account", work.account())
        .with("key", work.access() == null ? null : work.access().key().hex())
        .with("tokens", Double.toString(bucket.balance()))
        .with("held_groups", heldGroups)
        .with("loan_age_ms", bucket.lastLoanMillis(now))
        .with("retry_ms", retryMillis)
        .write();
    return new Refusal("account over its limit", retryMillis);
  }

  /** Adapts to the configuration and to the groups of this instance, and asks for loans. */
  public void tick() {
    if (rules == null) {
      return;
    }
    refresh(true);
    if (!active.isEmpty()) {
      askForLoans();
    }
  }

  /**
   * Returns the tokens that this instance lends, by account.
   *
   * @param asked the tokens that another instance wants, by account
   */
  public Map<String, Double> lend(Map<String, Double> asked) {
    Map<String, Double> given = new HashMap<>();
    long now = scheduler.nanoTime();
    asked.forEach(
        (account, amount) -> {
          AccountBucket bucket = find(account);
          double granted = bucket == null ? 0 : bucket.lend(amount, now);
          if (granted > 0) {
            given.put(account, granted);
            lent.inc();
          }
        });
    return given;
  }

  private void askForLoans() {
    long now = scheduler.nanoTime();
    lastAskNanos = now;
    Map<String, Double> wanted = new HashMap<>();
    for (String account : List.copyOf(active)) {
      AccountBucket bucket = buckets.get(account);
      double amount = bucket == null ? 0 : bucket.wanted(now);
      if (amount <= 0) {
        active.remove(account);
      } else if (wanted.size() < MAX_ACCOUNTS_PER_QUESTION) {
        wanted.put(account, amount);
      }
    }
    Map<String, Integer> others = homes.otherHomes();
    int groups = others.values().stream().mapToInt(Integer::intValue).sum();
    if (wanted.isEmpty()) {
      return;
    }
    others.forEach((address, count) -> ask(address, wanted, (double) count / groups));
  }

  private void ask(String address, Map<String, Double> wanted, double part) {
    if (!askedAddresses.add(address)) {
      return;
    }
    Map<String, Double> amounts = new HashMap<>();
    wanted.forEach((account, amount) -> amounts.put(account, amount * part));
    long asked = scheduler.nanoTime();
    lenders.ask(
        address,
        amounts,
        QuotaMargins.LOAN_VALIDITY,
        given -> {
          askedAddresses.remove(address);
          if (given != null) {
            given.forEach((account, amount) -> borrow(account, amount, asked));
          }
        });
  }

  private void borrow(String account, double amount, long askedNanos) {
    AccountBucket bucket = find(account);
    if (bucket != null) {
      borrowed.inc();
      bucket.borrow(amount, askedNanos, scheduler.nanoTime());
    }
  }

  /** Returns the account's bucket, null if the account is not limited. */
  private @Nullable AccountBucket find(String account) {
    if (rules == null || account.isEmpty()) {
      return null;
    }
    refresh(false);
    return buckets.get(account);
  }

  /**
   * Applies the configuration and the held groups to all buckets if they have changed.
   *
   * @param counting whether the held groups are counted even if they were counted a short time ago
   */
  private void refresh(boolean counting) {
    long now = scheduler.nanoTime();
    Configuration current = configuration.get();
    int held = heldGroups;
    if (counting || now - heldGroupsNanos > HELD_GROUPS_MAX_AGE_NANOS) {
      held = homes.heldGroups();
      heldGroupsNanos = now;
    }
    if (current == null || (current.version() == appliedVersion && held == heldGroups)) {
      return;
    }
    appliedVersion = current.version();
    heldGroups = held;
    ClientAccounts accounts = current.accounts();
    Set<String> limited = new HashSet<>();
    if (accounts != null && rules != null) {
      int groups = Math.max(1, current.groups().size());
      for (ClientAccount account : new ArrayList<>(accounts.all())) {
        if (account.ratePerSecond() < UNLIMITED && account.burst() < UNLIMITED) {
          limited.add(account.name());
          buckets
              .computeIfAbsent(account.name(), name -> new AccountBucket(now))
              .setShare(QuotaMargins.of(account, rules, groups), held, now);
        }
      }
    }
    buckets.keySet().retainAll(limited);
    active.retainAll(limited);
  }
}

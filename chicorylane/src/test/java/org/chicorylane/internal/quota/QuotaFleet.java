package org.chicorylane.internal.quota;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.chicorylane.internal.account.AccountAccess;
import org.chicorylane.internal.account.AccountRules;
import org.chicorylane.internal.account.ClientAccount;
import org.chicorylane.internal.account.ClientAccounts;
import org.chicorylane.internal.account.KeyFingerprint;
import org.chicorylane.internal.passthrough.SessionValues;
import org.chicorylane.internal.pool.StatementQuota;
import org.chicorylane.internal.pool.Work;
import org.chicorylane.internal.pool.WorkKind;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.VirtualScheduler;
import org.chicorylane.internal.topology.Configuration;
import org.chicorylane.internal.topology.Freshness;
import org.chicorylane.internal.topology.GroupDeclaration;
import org.jspecify.annotations.Nullable;

/**
 * The quotas of a fleet's instances in virtual time, with leases of homes and messages that take
 * time, but without a network. Each group is served by the instance that was made its home last.
 */
final class QuotaFleet {

  static final AccountRules.Quota RULES = new AccountRules.Quota(Duration.ofSeconds(5), 0.1, 20);

  /** Duration of a home's lease. */
  static final long LEASE_MILLIS = 9_000;

  private static final int TICK_MILLIS = 50;

  final VirtualScheduler scheduler = new VirtualScheduler();
  final List<Host> hosts = new ArrayList<>();

  /** Times in milliseconds at which statements were sent, by account. */
  final Map<String, List<Long>> sent = new HashMap<>();

  /** Delays in milliseconds that refused callers were told, by account. */
  final Map<String, List<Long>> refusals = new HashMap<>();

  /** Time in milliseconds that a message takes one way. */
  int messageMillis = 1;

  private final int groups;
  private final int[] homes;
  private final AccountRules.@Nullable Quota rules;
  private Configuration newest;

  QuotaFleet(int groups, int instances, ClientAccount... accounts) {
    this(RULES, groups, instances, accounts);
  }

  QuotaFleet(
      AccountRules.@Nullable Quota rules, int groups, int instances, ClientAccount... accounts) {
    this.groups = groups;
    this.rules = rules;
    this.homes = new int[groups];
    this.newest = configuration(1, accounts);
    for (int i = 0; i < instances; i++) {
      hosts.add(new Host(i));
    }
    for (int g = 0; g < groups; g++) {
      homes[g] = g % instances;
      hosts.get(g % instances).heldSince.put(g, now());
    }
  }

  static ClientAccount account(String name, double rate, double burst) {
    return new ClientAccount(name, Set.of(), 0, rate, burst);
  }

  /** Returns the most statements of the account that may be sent in one window. */
  static double allowed(ClientAccount account) {
    double window = RULES.window().toMillis() / 1e3;
    return (account.ratePerSecond() * window + account.burst()) * (1 + RULES.overage())
        + RULES.slack();
  }

  private Configuration configuration(long version, ClientAccount... accounts) {
    Map<String, GroupDeclaration> declared = new HashMap<>();
    for (int g = 0; g < groups; g++) {
      declared.put("group-" + g, new GroupDeclaration("group-" + g, 20, 0));
    }
    return new Configuration(
        version,
        Map.of(),
        declared,
        Duration.ofSeconds(10),
        1_000,
        ClientAccounts.of(List.of(accounts)));
  }

  long now() {
    return scheduler.millis();
  }

  void advance(long millis) {
    scheduler.advance(Duration.ofMillis(millis));
  }

  /**
   * Changes the accounts; each instance learns of it {@code delayMillis} times its number later.
   */
  void declare(long version, int delayMillis, ClientAccount... accounts) {
    newest = configuration(version, accounts);
    Configuration next = newest;
    for (Host host : hosts) {
      scheduler.schedule(
          Duration.ofMillis((long) delayMillis * host.index),
          () -> host.run(() -> host.learn(next)));
    }
  }

  /** Moves a group to another instance in a planned way: the earlier home stops first. */
  void hand(int group, int to) {
    Host from = hosts.get(homes[group]);
    if (from.frozen || hosts.get(to).frozen || from.index == to) {
      return;
    }
    boolean held = from.heldSince.containsKey(group);
    long since = held ? Math.max(now(), from.heldSince.get(group)) : now() + LEASE_MILLIS;
    from.heldSince.remove(group);
    homes[group] = to;
    hosts.get(to).heldSince.put(group, since);
  }

  /** Moves a group away from an instance that no one reaches, and that keeps its lease. */
  void take(int group, int to) {
    Host from = hosts.get(homes[group]);
    if (from.index == to || hosts.get(to).frozen) {
      return;
    }
    from.leaseEnds.put(group, now() + LEASE_MILLIS);
    homes[group] = to;
    hosts.get(to).leaseEnds.remove(group);
    hosts.get(to).heldSince.put(group, now() + LEASE_MILLIS);
  }

  /** Returns the home of a group. */
  Host home(int group) {
    return hosts.get(homes[group]);
  }

  /** Ends and starts the process of an instance, which keeps its groups. */
  void restart(int index) {
    Host earlier = hosts.get(index);
    earlier.dead = true;
    Host next = new Host(index);
    for (int g = 0; g < groups; g++) {
      if (homes[g] == index) {
        next.heldSince.put(g, Math.max(now(), earlier.heldSince.getOrDefault(g, now())));
      }
    }
    hosts.set(index, next);
  }

  /** A caller sends a new statement to a group. Returns whether it was run. */
  boolean call(String account, int group) {
    return home(group).call(account, StatementPhase.SINGLE);
  }

  /** A caller begins a transaction in a group. Returns whether its first statement was run. */
  boolean begin(String account, int group) {
    return home(group).call(account, StatementPhase.FIRST);
  }

  /** A caller continues a transaction in a group. Returns whether the statement was run. */
  boolean proceed(String account, int group) {
    return home(group).call(account, StatementPhase.LATER);
  }

  int sentBetween(String account, long fromMillis, long toMillis) {
    return (int)
        sent.getOrDefault(account, List.of()).stream()
            .filter(t -> t >= fromMillis && t < toMillis)
            .count();
  }

  int refusedCount(String account) {
    return refusals.getOrDefault(account, List.of()).size();
  }

  /** Returns the most statements of an account that were sent in one window from a time on. */
  int mostInWindow(String account, long fromMillis) {
    List<Long> times =
        sent.getOrDefault(account, List.of()).stream().filter(t -> t >= fromMillis).toList();
    int most = 0;
    int first = 0;
    for (int last = 0; last < times.size(); last++) {
      while (times.get(last) - times.get(first) > RULES.window().toMillis()) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /** One instance. */
  final class Host implements FleetQuota.Homes, FleetQuota.Lenders {
    final int index;
    final FleetQuota quota;
    final Set<Integer> cutFrom = new HashSet<>();

    /** Times from which this instance may spend the shares of its groups. */
    final Map<Integer, Long> heldSince = new TreeMap<>();

    /** Times at which the leases of groups end that others have taken. */
    final Map<Integer, Long> leaseEnds = new HashMap<>();

    boolean frozen;
    boolean dead;
    private final List<Runnable> pending = new ArrayList<>();
    private Configuration known;

    Host(int index) {
      this.index = index;
      this.known = newest;
      this.quota =
          new FleetQuota(
              rules, () -> known, this, this, scheduler, DecisionLog.none(), new MetricRegistry());
      scheduler.schedule(Duration.ofMillis(index % TICK_MILLIS), this::tick);
    }

    private void tick() {
      if (dead) {
        return;
      }
      if (!frozen) {
        quota.tick();
      }
      scheduler.schedule(Duration.ofMillis(TICK_MILLIS), this::tick);
    }

    private void learn(Configuration next) {
      if (next.version() > known.version()) {
        known = next;
      }
    }

    private void run(Runnable task) {
      if (frozen) {
        pending.add(task);
      } else if (!dead) {
        task.run();
      }
    }

    void freeze() {
      frozen = true;
    }

    void thaw() {
      frozen = false;
      List<Runnable> tasks = new ArrayList<>(pending);
      pending.clear();
      tasks.forEach(this::run);
    }

    boolean call(String account, StatementPhase phase) {
      if (frozen || dead) {
        return false;
      }
      Work work = work(account, phase);
      StatementQuota.Refusal refusal = phase == StatementPhase.LATER ? null : quota.checkNew(work);
      if (refusal == null) {
        refusal = quota.take(work);
      }
      if (refusal == null) {
        sent.computeIfAbsent(account, a -> new ArrayList<>()).add(now());
      } else {
        refusals.computeIfAbsent(account, a -> new ArrayList<>()).add(refusal.retryMillis());
      }
      return refusal == null;
    }

    @Override
    public int heldGroups() {
      heldSince.keySet().removeIf(g -> leaseEnds.getOrDefault(g, Long.MAX_VALUE) <= now());
      return (int) heldSince.values().stream().filter(since -> since <= now()).count();
    }

    @Override
    public Map<String, Integer> otherHomes() {
      Map<String, Integer> others = new HashMap<>();
      for (int home : homes) {
        if (home != index) {
          others.merge(Integer.toString(home), 1, Integer::sum);
        }
      }
      return others;
    }

    @Override
    public void ask(
        String address,
        Map<String, Double> amounts,
        Duration timeout,
        Consumer<@Nullable Map<String, Double>> handler) {
      boolean[] done = new boolean[1];
      Consumer<@Nullable Map<String, Double>> once =
          given -> {
            if (!done[0]) {
              done[0] = true;
              handler.accept(given);
            }
          };
      scheduler.schedule(timeout, () -> run(() -> once.accept(null)));
      Host other = hosts.get(Integer.parseInt(address));
      send(
          other,
          () -> {
            Map<String, Double> given = other.quota.lend(amounts);
            other.send(this, () -> once.accept(given));
          });
    }

    private void send(Host to, Runnable task) {
      if (cutFrom.contains(to.index) || to.cutFrom.contains(index)) {
        return;
      }
      scheduler.schedule(Duration.ofMillis(messageMillis), () -> to.run(task));
    }
  }

  private static Work work(String account, StatementPhase phase) {
    return new Work(
        WorkKind.READ,
        "r",
        "select",
        null,
        Freshness.LATEST,
        0,
        null,
        SessionValues.EMPTY,
        phase == StatementPhase.SINGLE ? 0 : 1,
        phase == StatementPhase.FIRST,
        false,
        1,
        100,
        1_000,
        new AccountAccess(account, new KeyFingerprint("00")));
  }
}

package org.chicorylane.internal.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.chicorylane.internal.account.AccountAccess;
import org.chicorylane.internal.account.ClientAccount;
import org.chicorylane.internal.account.ClientAccounts;
import org.chicorylane.internal.account.KeyFingerprint;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.topology.Freshness;

/**
 * Statements of several accounts over three routes, at random times, on a {@link PoolFixture}. The
 * routes' targets and priorities are those of a large deployment. Request ids begin with the
 * account's name and the route's priority: {@code hot/2/17}.
 */
final class AccountLoad {

  static final int[] TARGETS_MILLIS = {152, 252, 802};

  final PoolFixture fixture = new PoolFixture();
  private final Map<String, Double> usualPerSecond = new LinkedHashMap<>();
  private final List<ClientAccount> accounts = new ArrayList<>();
  private final Random random;
  private final double[] routeShares;
  private int sent;

  /**
   * Creates a load without accounts.
   *
   * @param routeShares the shares of the statements that come by the three routes
   */
  AccountLoad(long seed, double... routeShares) {
    random = new Random(seed);
    this.routeShares = routeShares;
    fixture.pool.configure(56, Duration.ofSeconds(3));
    for (String id : List.of("server-a", "server-b", "server-c")) {
      fixture.group.server(id).workOf = request -> workOf(request);
    }
  }

  /** Returns a duration between 6 and 14 ms that depends on the request only. */
  private static Duration workOf(String request) {
    return Duration.ofMillis(6 + Math.floorMod(request.hashCode() * 31, 9));
  }

  /** Declares an account that usually sends this number of statements in a second. */
  void declare(String name, int priority, double perSecond) {
    usualPerSecond.put(name, perSecond);
    accounts.add(
        new ClientAccount(
            name, Set.of(KeyFingerprint.of(name)), priority, 10 * perSecond, 10 * perSecond));
    fixture.pool.setAccounts(ClientAccounts.of(accounts));
  }

  /** Sends statements for the given time; {@code account} sends {@code factor} times its usual. */
  void run(int millis, String account, double factor) {
    for (int t = 0; t < millis; t++) {
      for (Map.Entry<String, Double> usual : usualPerSecond.entrySet()) {
        boolean isChanged = account.equals("*") || account.equals(usual.getKey());
        double perMilli = usual.getValue() * (isChanged ? factor : 1) / 1_000;
        for (double left = -Math.log(1 - random.nextDouble()); left < perMilli; ) {
          send(usual.getKey());
          left += -Math.log(1 - random.nextDouble());
        }
      }
      fixture.advance(1);
    }
  }

  private void send(String account) {
    double drawn = random.nextDouble();
    int route = 0;
    while (route < 2 && drawn >= routeShares[route]) {
      drawn -= routeShares[route++];
    }
    send(account, route);
  }

  /** Sends one statement by a route and returns its id. */
  String send(String account, int route) {
    String id = account + "/" + route + "/" + sent++;
    WorkKind kind = route == 0 ? WorkKind.WRITE : WorkKind.READ;
    fixture.submit(
        PoolFixture.work(id, kind, route == 2 ? Freshness.BOUNDED_AGE : Freshness.OWN_WRITES)
            .priority(route)
            .target(TARGETS_MILLIS[route])
            .budget(3 * TARGETS_MILLIS[route])
            .access(new AccountAccess(account, KeyFingerprint.of(account)))
            .build());
    return id;
  }

  /** Returns the number of statements that have been sent. */
  int sent() {
    return sent;
  }

  static int numberOf(String id) {
    return Integer.parseInt(id.substring(id.lastIndexOf('/') + 1));
  }

  static int routeOf(String id) {
    return id.charAt(id.indexOf('/') + 1) - '0';
  }

  /**
   * Returns the 99th percentile of the latencies, in milliseconds, where a failure counts as
   * endless.
   */
  long p99Millis(Predicate<String> ids) {
    List<Long> sorted =
        fixture.answers.keySet().stream()
            .filter(ids)
            .map(id -> isDone(id) ? tookMillis(id) : Long.MAX_VALUE)
            .sorted()
            .toList();
    return sorted.get(sorted.size() * 99 / 100);
  }

  /** Returns the share of the statements that were done within their target. */
  double shareInTarget(Predicate<String> ids) {
    List<String> all = fixture.answers.keySet().stream().filter(ids).toList();
    long inTarget =
        all.stream()
            .filter(id -> isDone(id) && tookMillis(id) <= TARGETS_MILLIS[routeOf(id)])
            .count();
    return (double) inTarget / all.size();
  }

  /** Returns the number of statements that were done. */
  long countDone(Predicate<String> ids) {
    return fixture.answers.keySet().stream().filter(ids).filter(this::isDone).count();
  }

  /** Returns the number of statements that were refused. */
  long countRefused(Predicate<String> ids) {
    return fixture.answers.entrySet().stream()
        .filter(e -> ids.test(e.getKey()) && e.getValue().failedWith(FailureCode.OVERLOADED))
        .count();
  }

  private boolean isDone(String id) {
    return fixture.failureOf(id) == null;
  }

  private long tookMillis(String id) {
    Long took = fixture.tookMillis.get(id);
    if (took == null) {
      throw new AssertionError("no answer to " + id);
    }
    return took;
  }
}

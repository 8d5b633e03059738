package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.chicorylane.internal.account.AccountAccess;
import org.chicorylane.internal.account.KeyFingerprint;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ModelServer;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.topology.Freshness;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/**
 * Guards against a statement that runs under another account than its own. Random schedules of
 * statements, transactions, evictions, lost connections, restarts of servers, refused connections
 * and withdrawals of accounts; the number of schedules is the system property {@code
 * accountConnections.seeds}.
 */
final class AccountConnectionsRandomisedTest {

  private static final int SEEDS = Integer.getInteger("accountConnections.seeds", 60);
  private static final int STEPS = 250;
  private static final int ACCOUNTS = 12;
  private static final Duration ABANDONED_AFTER = Duration.ofMillis(100);
  private static final List<String> SERVERS = List.of("server-a", "server-b", "server-c");

  @Test
  void testNoConnectionRunsStatementsOfTwoAccounts() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      try {
        new Schedule(seed).run();
      } catch (RuntimeException e) {
        throw new AssertionError("seed " + seed, e);
      }
    }
  }

  /** One random schedule. */
  private static final class Schedule {
    private final long seed;
    private final Random random;
    private @Nullable LimitedConnector created;
    private final PoolFixture fixture;
    private int next;
    private int transactions;

    Schedule(long seed) {
      this.seed = seed;
      this.random = new Random(seed);
      this.fixture = new PoolFixture(this::wrap);
    }

    private ServerConnector wrap(ServerConnector group, Scheduler scheduler) {
      created = new LimitedConnector(group, scheduler);
      return created;
    }

    void run() {
      LimitedConnector connector = created;
      if (connector == null) {
        throw new AssertionError("the pool has no connector");
      }
      fixture.pool.configure(7 + random.nextInt(10), Duration.ofSeconds(1));
      for (int i = 0; i < STEPS; i++) {
        step(connector);
        fixture.advance(random.nextInt(20));
      }
      SERVERS.forEach(id -> connector.limits.remove(id));
      SERVERS.forEach(id -> fixture.group.server(id).restart());
      fixture.pool.abandonAll(fixture);
      fixture.advance(5_000);
      assertWithMessage("statements on connections of others, seed %s", seed)
          .that(connector.violations)
          .isEmpty();
      assertWithMessage("statements that wait, seed %s", seed)
          .that(fixture.pool.queueSize())
          .isEqualTo(0);
      assertWithMessage("opened connections, seed %s", seed)
          .that(connector.opened)
          .isGreaterThan(ACCOUNTS);
    }

    private void step(LimitedConnector connector) {
      String id = SERVERS.get(random.nextInt(SERVERS.size()));
      ModelServer server = fixture.group.server(id);
      switch (random.nextInt(60)) {
        case 0 -> connector.breakConnections(id);
        case 1 -> server.crash();
        case 2, 3, 4 -> server.restart();
        case 5 -> connector.limits.put(id, 1 + random.nextInt(12));
        case 6 -> connector.limits.remove(id);
        case 7 -> fixture.pool.closeIdleOf(account());
        case 8 -> server.unresponsive = !server.primary;
        case 9 -> server.loseNextAnswer = true;
        case 10, 11, 12, 13, 14, 15, 16, 17, 18 -> transaction();
        default -> {
          boolean isRead = random.nextInt(3) > 0;
          submit(account(), isRead, 0, false);
        }
      }
    }

    private void transaction() {
      String account = account();
      int number = ++transactions;
      String first = submit(account, false, number, true);
      continueTransaction(account, number, first, random.nextInt(3));
    }

    /** Sends the next statement of a transaction once the previous one has succeeded. */
    private void continueTransaction(String account, int number, String previous, int left) {
      if (left == 0) {
        fixture.scheduler.schedule(ABANDONED_AFTER, () -> fixture.pool.abandon(fixture, number));
        return;
      }
      fixture.scheduler.schedule(
          Duration.ofMillis(40),
          () -> {
            Answer answer = fixture.answers.get(previous);
            if (answer == null) {
              continueTransaction(account, number, previous, left);
            } else if (answer.succeeded()) {
              String id = submit(account, false, number, false);
              continueTransaction(account, number, id, left - 1);
            }
          });
    }

    /** Returns one of the accounts, lower numbers more often. */
    private String account() {
      return "account-" + random.nextInt(1 + random.nextInt(ACCOUNTS));
    }

    private String submit(String account, boolean isRead, int transaction, boolean begins) {
      PoolFixture.Builder builder =
          PoolFixture.work(
                  account + "/" + next++,
                  isRead ? WorkKind.READ : WorkKind.WRITE,
                  isRead ? Freshness.BOUNDED_AGE : Freshness.OWN_WRITES)
              .access(new AccountAccess(account, KeyFingerprint.of(account)));
      if (transaction > 0) {
        builder.inTransaction(transaction, begins, false);
      }
      Work work = builder.build();
      fixture.submit(work);
      return work.requestId();
    }
  }
}

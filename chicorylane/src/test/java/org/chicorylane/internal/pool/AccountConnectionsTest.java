package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.chicorylane.internal.account.AccountAccess;
import org.chicorylane.internal.account.ClientAccount;
import org.chicorylane.internal.account.ClientAccounts;
import org.chicorylane.internal.account.KeyFingerprint;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.topology.Freshness;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/**
 * Guards against statements that wait for a connection although another server has one, and against
 * accounts that take the connections of others.
 */
final class AccountConnectionsTest {

  private static final List<String> REPLICAS = List.of("server-b", "server-c");

  private @Nullable LimitedConnector created;
  private final PoolFixture fixture = new PoolFixture(this::wrap);
  private final LimitedConnector connector = connector();

  private ServerConnector wrap(ServerConnector group, Scheduler scheduler) {
    created = new LimitedConnector(group, scheduler);
    return created;
  }

  private LimitedConnector connector() {
    if (created == null) {
      throw new AssertionError("the pool has no connector");
    }
    return created;
  }

  private static PoolFixture.Builder work(String id, WorkKind kind, Freshness freshness) {
    String account = id.substring(0, id.indexOf('/'));
    return PoolFixture.work(id, kind, freshness)
        .access(new AccountAccess(account, KeyFingerprint.of(account)));
  }

  private static Work read(String id) {
    return work(id, WorkKind.READ, Freshness.BOUNDED_AGE).build();
  }

  private static Work write(String id) {
    return work(id, WorkKind.WRITE, Freshness.OWN_WRITES).build();
  }

  @Test
  void testWaitingStatementOpensOneConnection() {
    fixture.submit(read("a/1"));
    fixture.advance(200);
    assertThat(fixture.failureOf("a/1")).isNull();
    assertThat(REPLICAS.stream().mapToInt(s -> connector.countOf(s, "a")).sum()).isEqualTo(1);
  }

  @Test
  void testReadGoesToTheReplicaThatHasConnectionOfItsAccount() {
    for (int i = 0; i < 5; i++) {
      fixture.submit(read("a/" + i));
      fixture.advance(100);
    }
    assertThat(fixture.tookMillis.get("a/4")).isAtMost(12);
    assertThat(REPLICAS.stream().mapToInt(s -> connector.countOf(s, "a")).sum()).isEqualTo(1);
  }

  @Test
  void testIdleConnectionOfRareAccountIsClosedForAnother() {
    fixture.pool.configure(8, Duration.ofSeconds(3));
    for (int round = 0; round < 20; round++) {
      fixture.submit(write("a/" + round));
      fixture.submit(write("b/" + round));
      fixture.advance(100);
    }
    fixture.submit(write("rare/1"));
    fixture.advance(100);
    fixture.submit(write("a/last"));
    fixture.submit(write("b/last"));
    fixture.advance(100);
    final int before = connector.opened;
    fixture.submit(write("new/1"));
    fixture.advance(300);
    assertThat(fixture.failureOf("new/1")).isNull();
    assertThat(connector.opened).isEqualTo(before + 1);
    assertThat(connector.countOf("server-a", "rare")).isEqualTo(0);
    assertThat(connector.countOf("server-a", "a")).isAtLeast(1);
    assertThat(connector.countOf("server-a", "b")).isAtLeast(1);
  }

  @Test
  void testBurstOfOneAccountDoesNotTakeAllConnections() {
    for (int i = 0; i < 300; i++) {
      fixture.submit(write("hot/" + i));
      fixture.advance(2);
    }
    assertThat(connector.countOf("server-a", "hot")).isAtMost(4);
  }

  @Test
  void testReadGoesElsewhereWhenServerRefusesConnection() {
    connector.limits.put("server-b", 1);
    for (int i = 0; i < 6; i++) {
      fixture.submit(read("a" + i + "/1"));
      fixture.advance(60);
    }
    for (int i = 0; i < 6; i++) {
      assertThat(fixture.failureOf("a" + i + "/1")).isNull();
      assertThat(fixture.tookMillis.get("a" + i + "/1")).isAtMost(50);
    }
  }

  @Test
  void testStatementIsRetriedWhenServerAcceptsConnectionsAgain() {
    connector.limits.put("server-a", 1);
    fixture.submit(write("a/1"));
    fixture.advance(60);
    connector.limits.put("server-a", 56);
    fixture.advance(120);
    assertThat(fixture.failureOf("a/1")).isNull();
  }

  @Test
  void testStatementIsRefusedBeforeItsDeadlineIfServerAcceptsNoConnection() {
    connector.limits.put("server-a", 1);
    fixture.submit(write("a/1"));
    fixture.advance(790);
    assertThat(fixture.failureOf("a/1")).isEqualTo(FailureCode.OVERLOADED);
    assertThat(fixture.answers.get("a/1").text()).contains("retry after");
  }

  @Test
  void testReadTriesAnotherReplicaWhenOpeningTakesLong() {
    fixture.group.server("server-b").unresponsive = true;
    fixture.submit(read("a/1"));
    fixture.advance(200);
    assertThat(fixture.failureOf("a/1")).isNull();
  }

  @Test
  void testConnectionsOfWithdrawnAccountAreClosed() {
    fixture.submit(write("a/1"));
    fixture.submit(write("b/1"));
    fixture.advance(100);
    fixture.pool.closeIdleOf("a");
    fixture.advance(10);
    assertThat(connector.countOf("server-a", "a")).isEqualTo(0);
    assertThat(connector.countOf("server-a", "b")).isEqualTo(1);
  }

  @Test
  void testConnectionsOfAccountThatLosesAllKeysAreClosed() {
    fixture.submit(write("a/1"));
    fixture.submit(write("b/1"));
    fixture.advance(100);
    KeyFingerprint key = KeyFingerprint.of("key");
    fixture.pool.setAccounts(
        ClientAccounts.of(
            List.of(
                new ClientAccount("a", Set.of(), 0, 100, 100),
                new ClientAccount("b", Set.of(key), 0, 100, 100))));
    fixture.advance(10);
    assertThat(connector.countOf("server-a", "a")).isEqualTo(0);
    assertThat(connector.countOf("server-a", "b")).isEqualTo(1);
  }

  @Test
  void testConnectionsAreOpenedAgainSoonAfterRefusals() {
    fixture.submit(write("a/1"));
    fixture.advance(60);
    connector.limits.put("server-a", 2);
    fixture.submit(
        work("a/2", WorkKind.WRITE, Freshness.OWN_WRITES).inTransaction(1, true, false).build());
    fixture.submit(write("b/1"));
    fixture.advance(30);
    connector.limits.put("server-a", 56);
    fixture.advance(150);
    assertThat(fixture.failureOf("b/1")).isNull();
    assertThat(connector.countOf("server-a", "a")).isEqualTo(1);
  }

  @Test
  void testOpeningsAndWaitsAreCounted() {
    connector.limits.put("server-a", 1);
    fixture.submit(write("a/1"));
    fixture.advance(20);
    connector.limits.put("server-a", 56);
    fixture.advance(100);
    fixture.pool.closeIdleOf("a");
    assertThat(count("connections.waits")).isEqualTo(1);
    assertThat(count("connections.failed")).isEqualTo(1);
    assertThat(count("connections.opened")).isEqualTo(1);
    assertThat(count("connections.withdrawn")).isEqualTo(1);
  }

  private long count(String name) {
    return fixture.metrics.counter(name).getCount();
  }
}

package org.chicorylane.standin.database;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.Socket;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The faults that a server can be given, as a client sees them. */
@Timeout(60)
final class FaultFunctionalTest {

  private static final Duration PATIENCE = Duration.ofSeconds(20);
  private static final Duration FOREVER = Duration.ofHours(1);
  private static final long LOCK_KEY = 7;

  private StandInGroup group;
  private StandInServer first;
  private StandInServer second;
  private StandInServer third;

  @BeforeEach
  void start() {
    group =
        StandInGroup.builder("plans")
            .servers(3)
            .schema("CREATE TABLE item (id int PRIMARY KEY, name text, z timestamptz)")
            .start();
    first = group.server("plans-1");
    second = group.server("plans-2");
    third = group.server("plans-3");
  }

  @AfterEach
  void stop() {
    group.servers().forEach(s -> assertThat(s.replayFaults()).isEmpty());
    group.close();
  }

  private static Connection connect(StandInServer server, String options) throws SQLException {
    return DriverManager.getConnection(
        "jdbc:postgresql://127.0.0.1:" + server.port() + "/db?user=u&password=p" + options);
  }

  private static String ask(Connection c, String sql) throws SQLException {
    try (Statement s = c.createStatement();
        ResultSet r = s.executeQuery(sql)) {
      return r.next() ? r.getString(1) : "no row";
    }
  }

  private static String ask(StandInServer server, String sql) throws SQLException {
    try (Connection c = connect(server, "")) {
      return ask(c, sql);
    }
  }

  private static void run(Connection c, String sql) throws SQLException {
    try (Statement s = c.createStatement()) {
      s.execute(sql);
    }
  }

  private static void run(StandInServer server, String sql) throws SQLException {
    try (Connection c = connect(server, "")) {
      run(c, sql);
    }
  }

  private static CompletableFuture<Void> runAsync(Connection c, String sql) {
    return CompletableFuture.runAsync(
        () -> {
          try {
            run(c, sql);
          } catch (SQLException e) {
            throw new CompletionException(e);
          }
        });
  }

  private static CompletableFuture<Void> runAsync(StandInServer server, String sql)
      throws SQLException {
    Connection c = connect(server, "");
    return runAsync(c, sql).whenComplete((done, e) -> close(c));
  }

  private static void close(Connection c) {
    try {
      c.close();
    } catch (SQLException e) {
      throw new CompletionException(e);
    }
  }

  private static void insert(StandInServer server, int id) throws SQLException {
    run(server, "INSERT INTO item VALUES (" + id + ", 'n', now())");
  }

  private static String count(StandInServer server) throws SQLException {
    return ask(server, "SELECT count(*) FROM item");
  }

  private static void follow(StandInServer replica, StandInServer upstream) throws SQLException {
    run(
        replica,
        "ALTER SYSTEM SET primary_conninfo = 'host=127.0.0.1 port=" + upstream.port() + "'");
    run(replica, "SELECT pg_reload_conf()");
  }

  private static void until(BooleanSupplier condition) {
    long deadline = System.nanoTime() + PATIENCE.toNanos();
    while (!condition.getAsBoolean()) {
      assertWithMessage("condition within patience").that(System.nanoTime()).isLessThan(deadline);
      Thread.onSpinWait();
    }
  }

  @Test
  void testKillResetsConnectionsAndRefusesNewOnes() throws SQLException {
    try (Connection c = connect(first, "")) {
      first.kill();
      assertThrows(SQLException.class, () -> ask(c, "SELECT 1"));
      SQLException e = assertThrows(SQLException.class, () -> connect(first, "").close());
      assertThat(e.getSQLState()).isEqualTo("08001");
    }
  }

  @Test
  void testRestartKeepsOnlyWhatWasCommittedAndChangesStartTime() throws SQLException {
    insert(first, 1);
    final String before = ask(first, "SELECT pg_postmaster_start_time()");
    try (Connection c = connect(first, "")) {
      c.setAutoCommit(false);
      run(c, "INSERT INTO item VALUES (2, 'lost', NULL)");
      first.kill();
      assertThrows(SQLException.class, c::commit);
    }
    first.restart(StandInServer.Data.KEPT);
    assertThat(ask(first, "SELECT max(id) FROM item")).isEqualTo("1");
    assertThat(ask(first, "SELECT pg_postmaster_start_time()")).isNotEqualTo(before);
    assertThat(first.inRecovery()).isFalse();
  }

  @Test
  void testRestartWithoutDataIsEmptyReplica() throws SQLException {
    first.kill();
    first.restart(StandInServer.Data.LOST);
    assertThat(first.inRecovery()).isTrue();
    assertThat(first.log()).isEmpty();
    assertThat(assertThrows(SQLException.class, () -> count(first)).getSQLState())
        .isEqualTo("42P01");
  }

  @Test
  void testReceivePositionIsUnknownAfterRestartUntilStreamingBegins() throws SQLException {
    first.freeze();
    second.kill();
    second.restart(StandInServer.Data.KEPT);
    assertThat(ask(second, "SELECT pg_last_wal_receive_lsn()")).isNull();
    assertThat(ask(second, "SELECT pg_last_wal_replay_lsn()")).isNotNull();
    first.thaw();
    until(second::streaming);
    assertThat(ask(second, "SELECT pg_last_wal_receive_lsn()")).isNotNull();
  }

  @Test
  void testFrozenServerAcceptsButDoesNotAnswerAndRunsLateStatementAfterThaw()
      throws SQLException, IOException {
    try (Connection c = connect(first, "&socketTimeout=1")) {
      first.freeze();
      assertThrows(SQLException.class, () -> run(c, "INSERT INTO item VALUES (1, 'late', NULL)"));
      new Socket(first.host(), first.port()).close();
      assertThat(first.executedWrites().toString()).doesNotContain("late");
    }
    first.thaw();
    until(() -> first.executedWrites().toString().contains("late"));
    group.awaitReplication(PATIENCE);
    assertThat(count(first)).isEqualTo("1");
  }

  @Test
  void testFrozenPrimaryFeedsNoReplica() throws SQLException {
    first.freeze();
    long end = second.endLsn();
    assertThat(ask(second, "SELECT pg_last_wal_receive_lsn()")).isEqualTo(Lsn.format(end));
    run(second, "SELECT pg_promote(true, 10)");
    assertThat(second.timeline()).isEqualTo(2);
    first.thaw();
  }

  @Test
  void testCutConnectionIsSilentWhileNewOnesWork() throws SQLException {
    try (Connection c = connect(first, "&socketTimeout=1")) {
      first.cut();
      assertThrows(SQLException.class, () -> run(c, "INSERT INTO item VALUES (1, 'silent', NULL)"));
      insert(first, 2);
      assertThat(first.executedWrites().toString()).doesNotContain("silent");
    }
  }

  @Test
  void testCutSessionKeepsItsLockUntilIdleTimeout() throws SQLException {
    try (Connection c = connect(first, "&socketTimeout=1")) {
      run(c, "SET idle_session_timeout = '300ms'");
      assertThat(ask(c, "SELECT pg_try_advisory_lock(" + LOCK_KEY + ")")).isEqualTo("t");
      first.cut();
    }
    assertThat(first.advisoryLockHolder(LOCK_KEY)).isNotEqualTo(0);
    until(() -> first.advisoryLockHolder(LOCK_KEY) == 0);
    assertThat(first.openConnections()).isEqualTo(0);
  }

  @Test
  void testIdleTransactionIsEndedAndRolledBack() throws SQLException {
    try (Connection c = connect(first, "")) {
      run(c, "SET idle_in_transaction_session_timeout = '100ms'");
      c.setAutoCommit(false);
      run(c, "INSERT INTO item VALUES (1, 'idle', NULL)");
      until(() -> first.openConnections() == 0);
      assertThat(assertThrows(SQLException.class, c::commit).getSQLState())
          .isAnyOf("25P03", "08006");
    }
    assertThat(count(first)).isEqualTo("0");
  }

  @Test
  void testIsolatesCallersByLabelWhileReplicationGoesOn() throws Exception {
    try (Connection home = connect(first, "&ApplicationName=home-1&assumeMinServerVersion=15")) {
      first.isolateCallers("home-");
      final CompletableFuture<Void> late =
          runAsync(home, "INSERT INTO item VALUES (1, 'held', NULL)");
      insert(first, 2);
      group.awaitReplication(PATIENCE);
      assertThat(count(second)).isEqualTo("1");
      assertThat(first.executedWrites().toString()).doesNotContain("held");
      first.endIsolation();
      late.get(PATIENCE.toSeconds(), TimeUnit.SECONDS);
      assertThat(count(first)).isEqualTo("2");
    }
  }

  @Test
  void testPartitionedReplicaReceivesNothingUntilHealed() throws SQLException {
    group.partition(second);
    insert(first, 1);
    until(() -> third.endLsn() == first.endLsn());
    assertThat(second.endLsn()).isLessThan(first.endLsn());
    group.healPartitions();
    group.awaitReplication(PATIENCE);
    assertThat(count(second)).isEqualTo("1");
  }

  @Test
  void testReplayDelayKeepsReceivedRecordsFromReads() throws SQLException {
    second.replayDelay(FOREVER);
    insert(first, 1);
    until(() -> second.endLsn() == first.endLsn());
    assertThat(count(second)).isEqualTo("0");
    second.replayDelay(Duration.ZERO);
    group.awaitReplication(PATIENCE);
    assertThat(count(second)).isEqualTo("1");
  }

  @Test
  void testReceiveDelayKeepsRecordsFromReplica() throws SQLException {
    second.receiveDelay(FOREVER);
    insert(first, 1);
    until(() -> third.endLsn() == first.endLsn());
    assertThat(second.endLsn()).isLessThan(first.endLsn());
    assertThat(second.streaming()).isTrue();
  }

  @Test
  void testPromotionReplaysAllThatWasReceivedAndStartsTimeline() throws SQLException {
    second.replayDelay(FOREVER);
    insert(first, 1);
    until(() -> second.endLsn() == first.endLsn());
    assertThat(ask(second, "SELECT pg_promote(true, 10)")).isEqualTo("t");
    assertThat(count(second)).isEqualTo("1");
    assertThat(ask(second, "SELECT timeline_id FROM pg_control_checkpoint()")).isEqualTo("2");
    insert(second, 2);
    assertThat(second.log().get(second.log().size() - 1).timeline()).isEqualTo(2);
  }

  @Test
  void testReplacedPrimaryStillBelievesAndItsTailIsRefusedUntilRebuilt() throws SQLException {
    group.partition(first);
    insert(first, 1);
    run(second, "SELECT pg_promote(true, 10)");
    follow(third, second);
    insert(second, 2);
    until(() -> third.endLsn() == second.endLsn());
    assertThat(third.timeline()).isEqualTo(2);
    assertThat(first.inRecovery()).isFalse();
    assertThat(group.newestPrimary()).isEqualTo(second);
    group.healPartitions();
    follow(third, first);
    until(() -> !third.streaming());
    assertThat(ask(third, "SELECT count(*) FROM pg_stat_wal_receiver")).isEqualTo("0");
    follow(third, second);
    assertThat(group.lostTransactions(first)).hasSize(1);
    first.rebuild(second);
    group.awaitReplication(PATIENCE);
    assertThat(first.log()).isEqualTo(second.log());
    assertThat(ask(first, "SELECT max(id) FROM item")).isEqualTo("2");
  }

  @Test
  void testReplicaWithLongerLogIsRefusedByShorterOne() throws SQLException {
    third.receiveDelay(FOREVER);
    insert(first, 1);
    until(() -> second.endLsn() == first.endLsn());
    run(third, "SELECT pg_promote(true, 10)");
    follow(second, third);
    until(() -> !second.streaming());
    assertThat(second.endLsn()).isEqualTo(first.endLsn());
    assertThat(second.timeline()).isEqualTo(1);
  }

  @Test
  void testSealedReplicaReceivesNothingMore() throws SQLException {
    run(second, "ALTER SYSTEM SET primary_conninfo = ''");
    run(second, "SELECT pg_reload_conf()");
    String sealed = ask(second, "SELECT pg_last_wal_receive_lsn()");
    insert(first, 1);
    until(() -> third.endLsn() == first.endLsn());
    assertThat(ask(second, "SELECT pg_last_wal_receive_lsn()")).isEqualTo(sealed);
    assertThat(ask(second, "SHOW primary_conninfo")).isEmpty();
  }

  @Test
  void testReloadDelayKeepsReplicaStreamingAfterReload() throws SQLException {
    second.reloadDelay(FOREVER);
    run(second, "ALTER SYSTEM SET primary_conninfo = ''");
    run(second, "SELECT pg_reload_conf()");
    insert(first, 1);
    until(() -> second.endLsn() == first.endLsn());
    assertThat(second.streaming()).isTrue();
  }

  @Test
  void testTerminatedSessionCannotCommit() throws SQLException {
    try (Connection victim = connect(first, "")) {
      String pid = ask(victim, "SELECT pg_backend_pid()");
      victim.setAutoCommit(false);
      run(victim, "INSERT INTO item VALUES (1, 'victim', NULL)");
      run(first, "SELECT pg_terminate_backend(" + pid + ")");
      assertThrows(SQLException.class, victim::commit);
    }
    assertThat(count(first)).isEqualTo("0");
  }

  @Test
  void testShutdownEndsIdleSessionsAndWaitsForTransaction() throws Exception {
    try (Connection idle = connect(first, "");
        Connection busy = connect(first, "")) {
      busy.setAutoCommit(false);
      run(busy, "INSERT INTO item VALUES (1, 'busy', NULL)");
      CompletableFuture<Void> stopped = first.shutDown();
      until(() -> first.openConnections() == 1);
      assertThrows(SQLException.class, () -> ask(idle, "SELECT 1"));
      assertThat(stopped.isDone()).isFalse();
      busy.commit();
      stopped.get(PATIENCE.toSeconds(), TimeUnit.SECONDS);
    }
    until(() -> second.endLsn() == first.endLsn());
    until(() -> second.replayLsn() == second.endLsn());
    assertThat(count(second)).isEqualTo("1");
  }

  @Test
  void testShutdownWaitsForSyncOfCommit() throws Exception {
    try (RawSession before = new RawSession(first);
        RawSession busy = new RawSession(first);
        RawSession after = new RawSession(first)) {
      busy.query("BEGIN");
      busy.query("INSERT INTO item VALUES (1, 'busy', NULL)");
      busy.executeWithoutSync("COMMIT");
      final CompletableFuture<Void> stopped = first.shutDown();
      assertThat(before.readUntilEnd()).isEqualTo("E");
      assertThat(after.readUntilEnd()).isEqualTo("E");
      busy.sync();
      assertThat(busy.readUntilEnd()).isEqualTo("ZE");
      stopped.get(PATIENCE.toSeconds(), TimeUnit.SECONDS);
    }
  }

  @Test
  void testDuplicateKeyWaitsForFirstTransaction() throws Exception {
    try (Connection holder = connect(first, "")) {
      holder.setAutoCommit(false);
      run(holder, "INSERT INTO item VALUES (1, 'first', NULL)");
      CompletableFuture<String> loser =
          CompletableFuture.supplyAsync(
              () -> assertThrows(SQLException.class, () -> insert(first, 1)).getSQLState());
      until(() -> first.executedWrites().size() == 3);
      holder.commit();
      assertThat(loser.get(PATIENCE.toSeconds(), TimeUnit.SECONDS)).isEqualTo("23505");
    }
  }

  @Test
  void testHolderOfLockGetsThroughSlotsFullOfItsWaiters() throws Exception {
    insert(first, 1);
    try (Connection holder = connect(first, "")) {
      holder.setAutoCommit(false);
      run(holder, "UPDATE item SET name = 'held' WHERE id = 1");
      List<CompletableFuture<Void>> waiters = new ArrayList<>();
      for (int i = 0; i < 6; i++) {
        waiters.add(runAsync(first, "UPDATE item SET name = 'next' WHERE id = 1"));
      }
      until(() -> first.peakSlotDemand() > 3);
      assertThat(ask(holder, "SELECT name FROM item WHERE id = 1")).isEqualTo("held");
      holder.commit();
      for (CompletableFuture<Void> w : waiters) {
        w.get(PATIENCE.toSeconds(), TimeUnit.SECONDS);
      }
    }
    assertThat(ask(first, "SELECT name FROM item WHERE id = 1")).isEqualTo("next");
  }

  @Test
  void testDeadlockEndsOneTransaction() throws Exception {
    insert(first, 1);
    insert(first, 2);
    try (Connection a = connect(first, "");
        Connection b = connect(first, "")) {
      a.setAutoCommit(false);
      b.setAutoCommit(false);
      run(a, "UPDATE item SET name = 'a' WHERE id = 1");
      run(b, "UPDATE item SET name = 'b' WHERE id = 2");
      final CompletableFuture<Void> crossing =
          runAsync(a, "UPDATE item SET name = 'a' WHERE id = 2");
      until(() -> first.executedWrites().size() == 6);
      List<String> failures = new ArrayList<>();
      try {
        run(b, "UPDATE item SET name = 'b' WHERE id = 1");
        b.commit();
      } catch (SQLException e) {
        failures.add(e.getSQLState());
        b.rollback();
      }
      try {
        crossing.get(PATIENCE.toSeconds(), TimeUnit.SECONDS);
      } catch (ExecutionException e) {
        failures.add(((SQLException) e.getCause()).getSQLState());
      }
      assertThat(failures).containsExactly("40P01");
    }
  }

  @Test
  void testVolatileFunctionsReplayToSameValues() throws SQLException {
    run(first, "INSERT INTO item VALUES (1, gen_random_uuid()::text, now())");
    group.awaitReplication(PATIENCE);
    String sql = "SELECT name || z::text FROM item";
    assertThat(ask(second, sql)).isEqualTo(ask(first, sql));
  }
}

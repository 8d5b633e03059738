package org.chicorylane.standin.database;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random writers and faults; afterwards all servers must agree with the newest primary's log. */
@Timeout(120)
final class RandomisedReplicationFunctionalTest {

  private static final int WRITERS = 4;
  private static final int WRITES = 60;
  private static final int ACCOUNTS = 5;
  private static final Duration PATIENCE = Duration.ofSeconds(30);

  private static Connection connect(StandInServer server) throws SQLException {
    return DriverManager.getConnection(
        "jdbc:postgresql://127.0.0.1:" + server.port() + "/db?user=u&password=p&socketTimeout=5");
  }

  /** Moves amounts between accounts; returns the transfers whose commit was confirmed. */
  private static Set<String> write(StandInServer server, int writer, long seed) {
    Random random = new Random(seed * 31 + writer);
    Set<String> confirmed = new HashSet<>();
    for (int i = 0; i < WRITES; i++) {
      String transfer = writer + "-" + i;
      try (Connection c = connect(server)) {
        c.setAutoCommit(false);
        transfer(c, random.nextInt(ACCOUNTS), random.nextInt(ACCOUNTS), transfer);
        if (random.nextInt(5) == 0) {
          c.rollback();
        } else {
          c.commit();
          confirmed.add(transfer);
        }
      } catch (SQLException e) {
        assertThat(confirmed).doesNotContain(transfer);
      }
    }
    return confirmed;
  }

  private static void transfer(Connection c, int from, int to, String name) throws SQLException {
    try (PreparedStatement move =
            c.prepareStatement("UPDATE account SET amount = amount + ? WHERE id = ?");
        PreparedStatement note = c.prepareStatement("INSERT INTO transfer VALUES (?, now())")) {
      move.setInt(1, -1);
      move.setInt(2, from);
      move.executeUpdate();
      move.setInt(1, 1);
      move.setInt(2, to);
      move.executeUpdate();
      note.setString(1, name);
      note.executeUpdate();
    }
  }

  private static List<String> contents(StandInServer server) throws SQLException {
    List<String> rows = new ArrayList<>();
    try (Connection c = connect(server);
        Statement s = c.createStatement();
        ResultSet r =
            s.executeQuery(
                "SELECT id::text, amount::text FROM account UNION ALL"
                    + " SELECT name, at::text FROM transfer ORDER BY 1, 2")) {
      while (r.next()) {
        rows.add(r.getString(1) + "=" + r.getString(2));
      }
    }
    return rows;
  }

  private static void disturb(StandInGroup group, Random random) {
    StandInServer replica = group.servers().get(1 + random.nextInt(2));
    switch (random.nextInt(5)) {
      case 0 -> replica.replayDelay(Duration.ofMillis(random.nextInt(50)));
      case 1 -> replica.receiveDelay(Duration.ofMillis(random.nextInt(50)));
      case 2 -> {
        replica.kill();
        replica.restart(StandInServer.Data.KEPT);
      }
      case 3 -> {
        group.servers().get(0).freeze();
        group.servers().get(0).thaw();
      }
      default -> {
        group.partition(replica);
        group.healPartitions();
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void testServersAgreeWithLogAfterFaultsAndFailover(long seed) throws Exception {
    try (StandInGroup group =
        StandInGroup.builder("ledger")
            .schema(
                "CREATE TABLE account (id int PRIMARY KEY, amount bigint)",
                "CREATE TABLE transfer (name text PRIMARY KEY, at timestamptz)",
                "INSERT INTO account VALUES (0,0),(1,0),(2,0),(3,0),(4,0)")
            .start()) {
      ExecutorService writers = Executors.newFixedThreadPool(WRITERS);
      List<Callable<Set<String>>> work = new ArrayList<>();
      for (int w = 0; w < WRITERS; w++) {
        int writer = w;
        work.add(() -> write(group.servers().get(0), writer, seed));
      }
      List<Future<Set<String>>> running = work.stream().map(writers::submit).toList();
      Random random = new Random(seed);
      for (int i = 0; i < 40; i++) {
        disturb(group, random);
      }
      Set<String> confirmed = new HashSet<>();
      for (Future<Set<String>> f : running) {
        confirmed.addAll(f.get());
      }
      writers.shutdown();
      group.awaitReplication(PATIENCE);
      check(group, confirmed);

      failOver(group);
      check(group, confirmed);
    }
  }

  private static void failOver(StandInGroup group) throws SQLException {
    StandInServer old = group.servers().get(0);
    StandInServer promoted = group.servers().get(1);
    old.kill();
    try (Connection c = connect(promoted);
        Statement s = c.createStatement()) {
      s.execute("SELECT pg_promote(true, 30)");
      s.execute("UPDATE account SET amount = amount + 0");
    }
    old.rebuild(promoted);
    group.servers().get(2).rebuild(promoted);
    group.awaitReplication(PATIENCE);
  }

  private static void check(StandInGroup group, Set<String> confirmed) throws SQLException {
    StandInServer primary = group.newestPrimary();
    List<String> expected = contents(primary);
    for (StandInServer s : group.servers()) {
      assertThat(s.replayFaults()).isEmpty();
      assertThat(s.log()).isEqualTo(primary.log());
      assertThat(contents(s)).isEqualTo(expected);
    }
    for (String transfer : confirmed) {
      assertWithMessage("transfer %s", transfer)
          .that(expected.stream().anyMatch(row -> row.startsWith(transfer + "=")))
          .isTrue();
    }
    long order = 0;
    long lsn = 0;
    for (LogRecord r : primary.log()) {
      assertThat(r.order()).isEqualTo(order++);
      assertThat(r.lsn()).isGreaterThan(lsn);
      lsn = r.lsn();
    }
  }
}

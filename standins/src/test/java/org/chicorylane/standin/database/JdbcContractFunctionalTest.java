package org.chicorylane.standin.database;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.math.BigDecimal;
import java.sql.BatchUpdateException;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.LocalDate;
import java.time.OffsetDateTime;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The contract of the stand-in with the blocking client, pgjdbc. */
final class JdbcContractFunctionalTest {

  private static StandInGroup group;

  @BeforeAll
  static void start() {
    group =
        StandInGroup.builder("jdbc")
            .servers(2)
            .schema(
                "CREATE TABLE item (id int PRIMARY KEY, name text, amount bigint DEFAULT 0)",
                "CREATE TABLE kinds (i2 smallint, i4 int, i8 bigint, f4 real, f8 double precision,"
                    + " b boolean, t text, n numeric(20,4), d date, z timestamptz, y bytea)")
            .start();
  }

  @AfterAll
  static void stop() {
    group.close();
  }

  @BeforeEach
  void clear() throws SQLException {
    try (Connection c = connect(1, "");
        Statement s = c.createStatement()) {
      s.execute("DELETE FROM item; DELETE FROM kinds");
    }
  }

  private static Connection connect(int server, String options) throws SQLException {
    int port = group.servers().get(server - 1).port();
    return DriverManager.getConnection(
        "jdbc:postgresql://127.0.0.1:" + port + "/db?user=u&password=p" + options);
  }

  private static String one(Statement s, String sql) throws SQLException {
    try (ResultSet r = s.executeQuery(sql)) {
      return r.next() ? r.getString(1) : "no row";
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "&preferQueryMode=simple",
        "&preferQueryMode=extendedForPrepared",
        "&prepareThreshold=1&binaryTransfer=true",
        "&prepareThreshold=-1"
      })
  void testReturnsEveryTypeAsItWasWritten(String options) throws SQLException {
    OffsetDateTime time = OffsetDateTime.parse("2026-02-03T04:05:06.789012Z");
    try (Connection c = connect(1, options);
        PreparedStatement insert =
            c.prepareStatement("INSERT INTO kinds VALUES (?,?,?,?,?,?,?,?,?,?,?)");
        PreparedStatement select = c.prepareStatement("SELECT * FROM kinds WHERE i4 = ?")) {
      for (int round = 0; round < 7; round++) {
        insert.setShort(1, (short) -2);
        insert.setInt(2, round);
        insert.setLong(3, 1L << 40);
        insert.setFloat(4, 1.5f);
        insert.setDouble(5, -2.25);
        insert.setBoolean(6, true);
        insert.setString(7, "čau 'x'");
        insert.setBigDecimal(8, new BigDecimal("-12345678.9012"));
        insert.setObject(9, LocalDate.of(2026, 1, 31));
        insert.setObject(10, time);
        insert.setBytes(11, new byte[] {0, 1, -1});
        assertThat(insert.executeUpdate()).isEqualTo(1);
        select.setInt(1, round);
        try (ResultSet r = select.executeQuery()) {
          assertThat(r.next()).isTrue();
          assertThat(r.getShort(1)).isEqualTo(-2);
          assertThat(r.getInt(2)).isEqualTo(round);
          assertThat(r.getLong(3)).isEqualTo(1L << 40);
          assertThat(r.getFloat(4)).isEqualTo(1.5f);
          assertThat(r.getDouble(5)).isEqualTo(-2.25);
          assertThat(r.getBoolean(6)).isTrue();
          assertThat(r.getString(7)).isEqualTo("čau 'x'");
          assertThat(r.getBigDecimal(8)).isEqualTo(new BigDecimal("-12345678.9012"));
          assertThat(r.getObject(9, LocalDate.class)).isEqualTo(LocalDate.of(2026, 1, 31));
          assertThat(r.getObject(10, OffsetDateTime.class)).isEqualTo(time);
          assertThat(r.getBytes(11)).isEqualTo(new byte[] {0, 1, -1});
        }
      }
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "INSERT INTO item VALUES (1, 'a', 0), (1, 'b', 0) | 23505",
        "SELECT * FROM absent | 42P01",
        "SELECT absent FROM item | 42703",
        "SELEKT 1 | 42601",
        "INSERT INTO item VALUES (NULL, 'a', 0) | 23502",
        "SELECT 'x'::int | 22P02",
        "SELECT 1/0 | 22012",
        "SELECT absent_function(1) | 42883",
        "SHOW absent | 42704",
        "SELECT pg_promote(true, 1) | 55000",
      })
  void testMapsErrorToSqlState(String sql, String state) throws SQLException {
    try (Connection c = connect(1, "");
        Statement s = c.createStatement()) {
      SQLException e = assertThrows(SQLException.class, () -> s.execute(sql));
      assertThat(e.getSQLState()).isEqualTo(state);
      assertThat(one(s, "SELECT 7")).isEqualTo("7");
    }
  }

  @Test
  void testRefusesStatementsInFailedTransactionUntilRollback() throws SQLException {
    try (Connection c = connect(1, "");
        Statement s = c.createStatement()) {
      c.setAutoCommit(false);
      s.execute("INSERT INTO item VALUES (1, 'a', 0)");
      assertThrows(SQLException.class, () -> s.execute("SELECT * FROM absent"));
      SQLException e = assertThrows(SQLException.class, () -> s.execute("SELECT 1"));
      assertThat(e.getSQLState()).isEqualTo("25P02");
      c.rollback();
      assertThat(one(s, "SELECT count(*) FROM item")).isEqualTo("0");
    }
  }

  @Test
  void testCommitsBlockAtOnceAndRollsBackToSavepoint() throws SQLException {
    try (Connection c = connect(1, "");
        Connection other = connect(1, "");
        Statement s = c.createStatement();
        Statement o = other.createStatement()) {
      c.setAutoCommit(false);
      s.execute("INSERT INTO item VALUES (1, 'a', 0)");
      java.sql.Savepoint point = c.setSavepoint("p");
      s.execute("INSERT INTO item VALUES (2, 'b', 0)");
      c.rollback(point);
      assertThat(one(o, "SELECT count(*) FROM item")).isEqualTo("0");
      c.commit();
      assertThat(one(o, "SELECT max(id) FROM item")).isEqualTo("1");
    }
  }

  @Test
  void testRefusesWriteInReadOnlyTransaction() throws SQLException {
    try (Connection c = connect(1, "");
        Statement s = c.createStatement()) {
      c.setAutoCommit(false);
      c.setReadOnly(true);
      SQLException e =
          assertThrows(SQLException.class, () -> s.execute("INSERT INTO item VALUES (1, 'a', 0)"));
      assertThat(e.getSQLState()).isEqualTo("25006");
      c.rollback();
      c.setReadOnly(false);
      s.execute("INSERT INTO item VALUES (1, 'a', 0)");
      c.commit();
    }
  }

  @Test
  void testRefusesWriteOnReplica() throws SQLException {
    try (Connection c = connect(2, "");
        Statement s = c.createStatement()) {
      SQLException e = assertThrows(SQLException.class, () -> s.execute("DELETE FROM item"));
      assertThat(e.getSQLState()).isEqualTo("25006");
    }
  }

  @Test
  void testRunsBatchAsOneTransaction() throws SQLException {
    try (Connection c = connect(1, "");
        PreparedStatement p = c.prepareStatement("INSERT INTO item VALUES (?, ?, ?)");
        Statement s = c.createStatement()) {
      for (int id : new int[] {1, 2, 2}) {
        p.setInt(1, id);
        p.setString(2, "n" + id);
        p.setNull(3, java.sql.Types.BIGINT);
        p.addBatch();
      }
      BatchUpdateException e = assertThrows(BatchUpdateException.class, p::executeBatch);
      assertThat(e.getSQLState()).isEqualTo("23505");
      assertThat(one(s, "SELECT count(*) FROM item")).isEqualTo("0");
    }
  }

  @Test
  void testAnswersEmptyQuery() throws SQLException {
    try (Connection c = connect(1, "");
        Statement s = c.createStatement()) {
      assertThat(s.execute("")).isFalse();
      assertThat(one(s, "SELECT 1")).isEqualTo("1");
    }
  }

  @Test
  void testFetchesRowsInPortions() throws SQLException {
    try (Connection c = connect(1, "");
        Statement s = c.createStatement()) {
      c.setAutoCommit(false);
      s.setFetchSize(10);
      try (ResultSet r = s.executeQuery("SELECT \"X\" FROM system_range(1, 95)")) {
        int rows = 0;
        while (r.next()) {
          rows++;
        }
        assertThat(rows).isEqualTo(95);
      }
    }
  }

  @Test
  void testReturnsGeneratedAndUpdatedRows() throws SQLException {
    try (Connection c = connect(1, "");
        Statement s = c.createStatement()) {
      assertThat(one(s, "INSERT INTO item (id, name) VALUES (5, 'a') RETURNING amount"))
          .isEqualTo("0");
      assertThat(one(s, "UPDATE item SET amount = amount + 3 WHERE id = 5 RETURNING amount"))
          .isEqualTo("3");
      assertThat(one(s, "DELETE FROM item WHERE id = 5 RETURNING name")).isEqualTo("a");
      s.execute("INSERT INTO item (id) VALUES (1)");
      assertThat(s.executeUpdate("INSERT INTO item (id) VALUES (1) ON CONFLICT (id) DO NOTHING"))
          .isEqualTo(0);
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "SELECT now() - interval '2 days' < now() | t",
        "SELECT current_timestamp IS NOT NULL AS t | t",
        "INSERT INTO item (id, name) VALUES (1, 'a RETURNING; c') RETURNING name | a RETURNING; c",
        "SELECT 'pg_stat_activity; now()' | pg_stat_activity; now()",
        "SELECT coalesce(sum(amount), 0)::bigint FROM item | 0",
        "SELECT pg_catalog.pg_is_in_recovery() | f",
        "WITH t AS (SELECT 3 AS n) SELECT n FROM t | 3",
        "VALUES (4) | 4",
      })
  void testAnswersStatement(String sql, String answer) throws SQLException {
    try (Connection c = connect(1, "");
        Statement s = c.createStatement()) {
      assertThat(one(s, sql)).isEqualTo(answer);
    }
  }

  @Test
  void testRefusesConnectionBeyondLimit() throws SQLException {
    try (StandInGroup small = StandInGroup.builder("small").servers(1).connections(1).start()) {
      String url =
          "jdbc:postgresql://127.0.0.1:" + small.servers().get(0).port() + "/db?user=u&password=p";
      try (Connection first = DriverManager.getConnection(url)) {
        SQLException e =
            assertThrows(SQLException.class, () -> DriverManager.getConnection(url).close());
        assertThat(e.getSQLState()).isEqualTo("53300");
        assertThat(first.isValid(1)).isTrue();
      }
      assertThat(small.servers().get(0).peakConnections()).isEqualTo(1);
      assertThat(small.servers().get(0).refusedConnections()).isEqualTo(1);
    }
  }

  @Test
  void testDemandsPassword() throws SQLException {
    try (StandInGroup closed = StandInGroup.builder("closed").servers(1).password("s").start()) {
      String url = "jdbc:postgresql://127.0.0.1:" + closed.servers().get(0).port() + "/db?user=u";
      DriverManager.getConnection(url + "&password=s").close();
      SQLException e =
          assertThrows(
              SQLException.class, () -> DriverManager.getConnection(url + "&password=x").close());
      assertThat(e.getSQLState()).isEqualTo("28P01");
    }
  }
}

package org.chicorylane.standin.database;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.pgclient.PgConnectOptions;
import io.vertx.pgclient.PgConnection;
import io.vertx.pgclient.PgException;
import io.vertx.sqlclient.Row;
import io.vertx.sqlclient.Tuple;
import java.math.BigDecimal;
import java.time.Duration;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.OffsetDateTime;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The contract of the stand-in with the non-blocking client, and its server functions. */
final class ServerFunctionsFunctionalTest {

  private static final Duration PATIENCE = Duration.ofSeconds(20);
  private static final String STATE =
      "SELECT pg_is_in_recovery(), (SELECT timeline_id FROM pg_control_checkpoint()),"
          + " CASE WHEN pg_is_in_recovery() THEN NULL ELSE pg_current_wal_lsn()::text END,"
          + " pg_last_wal_receive_lsn()::text, pg_last_wal_replay_lsn()::text,"
          + " (SELECT sender_host || ':' || sender_port FROM pg_stat_wal_receiver)";

  private static Vertx vertx;
  private static StandInGroup group;

  @BeforeAll
  static void start() {
    vertx = Vertx.vertx();
    group =
        StandInGroup.builder("functions")
            .servers(2)
            .schema("CREATE TABLE item (id int PRIMARY KEY, name text, v int, z timestamptz)")
            .start();
  }

  @AfterAll
  static void stop() throws Exception {
    await(vertx.close());
    group.close();
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future
        .toCompletionStage()
        .toCompletableFuture()
        .get(PATIENCE.toSeconds(), TimeUnit.SECONDS);
  }

  private static PgConnection connect(int server) throws Exception {
    StandInServer s = group.servers().get(server - 1);
    return await(
        PgConnection.connect(
            vertx,
            new PgConnectOptions()
                .setHost(s.host())
                .setPort(s.port())
                .setDatabase("db")
                .setUser("u")
                .setPassword("p")
                .setCachePreparedStatements(true)));
  }

  private static Row row(PgConnection c, String sql, Object... parameters) throws Exception {
    return await(c.preparedQuery(sql).execute(Tuple.from(parameters))).iterator().next();
  }

  @Test
  void testTellsStateOfPrimary() throws Exception {
    PgConnection c = connect(1);
    Row r = row(c, STATE);
    assertThat(r.getBoolean(0)).isFalse();
    assertThat(r.getInteger(1)).isEqualTo(1);
    assertThat(Lsn.parse(r.getString(2))).isEqualTo(group.servers().get(0).endLsn());
    assertThat(r.getString(3)).isNull();
    assertThat(r.getString(5)).isNull();
    await(c.close());
  }

  @Test
  void testTellsStateOfReplica() throws Exception {
    PgConnection c = connect(2);
    group.awaitReplication(PATIENCE);
    Row r = row(c, STATE);
    long end = group.servers().get(0).endLsn();
    assertThat(r.getBoolean(0)).isTrue();
    assertThat(r.getString(2)).isNull();
    assertThat(Lsn.parse(r.getString(3))).isEqualTo(end);
    assertThat(Lsn.parse(r.getString(4))).isEqualTo(end);
    assertThat(r.getString(5)).isEqualTo("127.0.0.1:" + group.servers().get(0).port());
    await(c.close());
  }

  @Test
  void testReturnsLsnAndItsDifference() throws Exception {
    PgConnection c = connect(1);
    Row r =
        row(
            c,
            "SELECT pg_current_wal_lsn(), pg_wal_lsn_diff(pg_current_wal_lsn(), '0/0'),"
                + " pg_wal_lsn_diff(pg_current_wal_lsn(), '0/0')::bigint");
    long end = group.servers().get(0).endLsn();
    assertThat(r.getColumnName(0)).isEqualTo("pg_current_wal_lsn");
    assertThat(r.getString(0)).isEqualTo(Lsn.format(end));
    assertThat(r.getNumeric(1).bigDecimalValue()).isEqualTo(BigDecimal.valueOf(end));
    assertThat(r.getLong(2)).isEqualTo(end);
    await(c.close());
  }

  @Test
  void testInfersParametersOfPreparedStatements() throws Exception {
    PgConnection c = connect(1);
    OffsetDateTime time = OffsetDateTime.parse("2026-02-03T04:05:06Z");
    row2(c, "INSERT INTO item (id, name, v, z) VALUES ($1, $2, $3, $4)", 1, "a", 2, time);
    row2(c, "UPDATE item SET v = v + $1 WHERE id = $2", 5, 1);
    Row r = row(c, "SELECT v, name, z FROM item WHERE id = $1 AND name = $2 LIMIT $3", 1, "a", 9L);
    assertThat(r.getInteger(0)).isEqualTo(7);
    assertThat(r.getOffsetDateTime(2)).isEqualTo(time);
    assertThat(row(c, "SELECT $1::bigint + 1 AS n", 4L).getLong("n")).isEqualTo(5);
    await(c.close());
  }

  private static void row2(PgConnection c, String sql, Object... parameters) throws Exception {
    assertThat(await(c.preparedQuery(sql).execute(Tuple.from(parameters))).rowCount()).isEqualTo(1);
  }

  private static Stream<Object> typedValues() {
    return Stream.of(
        (short) -3,
        7,
        1L << 40,
        1.5f,
        -2.25,
        true,
        "čau",
        new BigDecimal("-1234.5000"),
        new BigDecimal("0.0001"),
        LocalDate.of(1999, 12, 31),
        OffsetDateTime.parse("2026-02-03T04:05:06.789012Z"),
        LocalDateTime.parse("2026-02-03T04:05:06.7"),
        UUID.fromString("00000000-0000-0001-0000-000000000002"));
  }

  private static String typeName(Object value) {
    return switch (value.getClass().getSimpleName()) {
      case "Short" -> "smallint";
      case "Integer" -> "int";
      case "Long" -> "bigint";
      case "Float" -> "real";
      case "Double" -> "double precision";
      case "Boolean" -> "boolean";
      case "BigDecimal" -> "numeric(20,4)";
      case "LocalDate" -> "date";
      case "OffsetDateTime" -> "timestamptz";
      case "LocalDateTime" -> "timestamp";
      case "UUID" -> "uuid";
      default -> "text";
    };
  }

  @ParameterizedTest
  @MethodSource("typedValues")
  void testReturnsValueAsItWasWritten(Object value) throws Exception {
    PgConnection c = connect(1);
    await(c.query("DROP TABLE IF EXISTS kind").execute());
    await(c.query("CREATE TABLE kind (v " + typeName(value) + ")").execute());
    await(c.preparedQuery("INSERT INTO kind VALUES ($1)").execute(Tuple.of(value)));
    await(c.preparedQuery("INSERT INTO kind VALUES ($1)").execute(Tuple.of(null)));
    assertThat(row(c, "SELECT v FROM kind WHERE v = $1", value).get(value.getClass(), 0))
        .isEqualTo(value);
    assertThat(row(c, "SELECT v FROM kind WHERE v IS NULL").getValue(0)).isNull();
    await(c.close());
  }

  @Test
  void testPipelinedStatementsFailTogetherWithTheirTransaction() throws Exception {
    PgConnection c = connect(1);
    Future<?> begin = c.query("BEGIN").execute();
    Future<?> good = c.preparedQuery("INSERT INTO item (id) VALUES ($1)").execute(Tuple.of(900));
    Future<?> bad = c.preparedQuery("INSERT INTO item (id) VALUES ($1)").execute(Tuple.of(900));
    final Future<?> late = c.query("SELECT 1").execute();
    await(begin);
    await(good);
    assertThat(state(bad)).isEqualTo("23505");
    assertThat(state(late)).isEqualTo("25P02");
    await(c.query("COMMIT").execute());
    assertThat(row(c, "SELECT count(*) FROM item WHERE id = 900").getLong(0)).isEqualTo(0);
    await(c.close());
  }

  private static String state(Future<?> failing) {
    ExecutionException e = assertThrows(ExecutionException.class, () -> await(failing));
    return ((PgException) e.getCause()).getSqlState();
  }

  @Test
  void testHoldsAdvisoryLockUntilSessionEnds() throws Exception {
    PgConnection first = connect(1);
    PgConnection second = connect(1);
    assertThat(row(first, "SELECT pg_try_advisory_lock($1)", 42L).getBoolean(0)).isTrue();
    assertThat(row(second, "SELECT pg_try_advisory_lock(42)").getBoolean(0)).isFalse();
    int holder = row(first, "SELECT pg_backend_pid()").getInteger(0);
    assertThat(group.servers().get(0).advisoryLockHolder(42)).isEqualTo(holder);
    assertThat(row(second, "SELECT pg_terminate_backend($1)", holder).getBoolean(0)).isTrue();
    while (!row(second, "SELECT pg_try_advisory_lock(42)").getBoolean(0)) {
      Thread.onSpinWait();
    }
    assertThat(row(second, "SELECT pg_advisory_unlock(42)").getBoolean(0)).isTrue();
    await(second.close());
  }

  @Test
  void testEndsSessionsByApplicationName() throws Exception {
    PgConnection control = connect(1);
    PgConnection work = connect(1);
    await(work.query("SET application_name = 'home-1-work'").execute());
    Row r =
        row(
            control,
            "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity"
                + " WHERE application_name LIKE 'home-%' AND pid <> pg_backend_pid()");
    assertThat(r.getLong(0)).isEqualTo(1);
    Future<?> refused = work.query("SELECT 1").execute();
    assertThrows(ExecutionException.class, () -> await(refused));
    await(control.close());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "SET idle_session_timeout = '3s'",
        "SET statement_timeout TO 500",
        "SET tcp_user_timeout = 1000",
        "CHECKPOINT",
        "BEGIN READ ONLY; SELECT 1; COMMIT",
        "BEGIN ISOLATION LEVEL REPEATABLE READ; ROLLBACK",
        "ALTER SYSTEM SET primary_conninfo = 'host=127.0.0.1 port=5433'",
        "ALTER SYSTEM RESET primary_conninfo",
        "SELECT pg_reload_conf()",
        "SHOW primary_conninfo",
        "SELECT pg_postmaster_start_time()",
        "DISCARD ALL"
      })
  void testAcceptsStatement(String sql) throws Exception {
    PgConnection c = connect(1);
    await(c.query(sql).execute());
    assertThat(row(c, "SELECT 1").getInteger(0)).isEqualTo(1);
    await(c.close());
  }
}

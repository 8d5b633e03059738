package org.chicorylane.internal.home;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.chicorylane.internal.backend.ServerConnector;
import org.chicorylane.internal.declaration.BackendServer;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.declaration.ServerState;
import org.chicorylane.internal.failover.HomeTimings;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.platform.InMemoryKeyValueStore;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.RelayClient;
import org.chicorylane.internal.relay.RelayTimings;
import org.chicorylane.internal.relay.RequestKind;
import org.chicorylane.internal.settings.HomeLimits;
import org.chicorylane.internal.statement.SqlValue;
import org.chicorylane.internal.statement.Statement;
import org.chicorylane.standin.database.StandInGroup;
import org.chicorylane.standin.database.StandInServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A home over real sockets to a stand-in group, alone in its fleet. */
final class HomeFunctionalTest {
  private static final Duration PATIENCE = Duration.ofSeconds(10);
  private static final String INSERT = "INSERT INTO sighting (id, note) VALUES ($1, $2)";
  private static final String COUNT = "SELECT count(*) FROM sighting WHERE id = $1";

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final Vertx vertx = Vertx.vertx();
  private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
  private StandInGroup servers;
  private HomeRegistry home;
  private int requests;

  @BeforeEach
  void start() {
    servers =
        StandInGroup.builder("archive")
            .servers(3)
            .slots(3)
            .connections(25)
            .schema("CREATE TABLE sighting (id varchar(40) NOT NULL, note text)")
            .start();
    DatabaseGroup group =
        new DatabaseGroup(
            "archive",
            "archive",
            "proxy",
            "",
            "archive-1",
            servers.servers().stream().map(HomeFunctionalTest::declared).toList());
    Declarations declarations =
        new Declarations(1, Map.of("archive", group), Map.of(), Map.of(), Map.of());
    HomeEnvironment environment =
        new HomeEnvironment(
            "test",
            new ServerConnector(vertx, Duration.ofMillis(400)),
            store,
            new SingleInstanceFleet(),
            new RelayClient(loops, RelayTimings.DEFAULT),
            () -> declarations,
            HomeTimings.DEFAULTS,
            HomeLimits.defaults(),
            stopped -> {},
            InstantSource.system(),
            new MetricRegistry());
    home = new HomeRegistry(environment, loops);
    home.refresh();
  }

  @AfterEach
  void stop() {
    home.drain().orTimeout(PATIENCE.toSeconds(), TimeUnit.SECONDS).join();
    servers.close();
    vertx.close().toCompletionStage().toCompletableFuture().join();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void testWriteIsConfirmedAndReadBack() {
    Outcome.Completed written = write("a", null);
    assertThat(written.position().term()).isEqualTo(1);
    assertThat(count("a", written)).isEqualTo(1);
  }

  @Test
  void testSecondTryWithSameKeyReturnsFirstResults() {
    write("a", "key-1");
    Outcome.Completed again = write("a", "key-1");
    assertThat(again.replayed()).isTrue();
    assertThat(again.results().get(0).affectedRows()).isEqualTo(1);
    assertThat(count("a", again)).isEqualTo(1);
  }

  @Test
  void testSameKeyWithAnotherRequestIsRefused() {
    write("a", "key-1");
    Outcome other = submitUntilServed(request(RequestKind.WRITE, insert("b"), "key-1"));
    assertThat(((Outcome.NotRun) other).reason()).isEqualTo(NotRunReason.KEY_REUSED);
  }

  @Test
  void testRefusedStatementRollsItsTransactionBack() {
    List<Statement> twice =
        List.of(insert("a"), new Statement("INSERT INTO nowhere VALUES (1)", List.of()));
    Outcome refused = submitUntilServed(request(RequestKind.WRITE, twice, "key-1"));
    assertThat(((Outcome.Rejected) refused).statementIndex()).isEqualTo(1);
    assertThat(count("a", write("b", null))).isEqualTo(0);
  }

  @Test
  void testTransactionControlIsRefusedWithItsPlace() {
    Outcome refused =
        submitUntilServed(
            request(RequestKind.WRITE, new Statement("/* x */ COMMIT", List.of()), null));
    assertThat(((Outcome.NotRun) refused).reason()).isEqualTo(NotRunReason.NOT_ALLOWED);
    assertThat(((Outcome.NotRun) refused).detail()).contains("$.statements[0].sql");
  }

  @Test
  void testInteractiveTransactionShowsNothingBeforeCommit() {
    write("warm-up", null);
    Outcome.Completed begun = completed(request(RequestKind.BEGIN, List.of(), null));
    String handle = begun.transaction();
    completed(inTransaction(RequestKind.CONTINUE, handle, insert("a")));
    assertThat(count("a", write("b", null))).isEqualTo(0);
    Outcome.Completed committed = completed(inTransaction(RequestKind.COMMIT, handle));
    assertThat(count("a", committed)).isEqualTo(1);
  }

  @Test
  void testWritesLandAgainAfterThePrimaryIsKilled() {
    write("before", null);
    servers.server("archive-1").kill();
    Outcome.Completed after = write("after", "key-after");
    assertThat(after.position().term()).isEqualTo(2);
    assertThat(count("before", after)).isEqualTo(1);
    assertThat(count("after", after)).isEqualTo(1);
  }

  private Outcome.Completed write(String id, String key) {
    return completed(request(RequestKind.WRITE, insert(id), key));
  }

  private long count(String id, Outcome.Completed after) {
    Statement count = new Statement(COUNT, List.of(new SqlValue.Text(id)));
    GroupRequest read =
        new GroupRequest(
            "r" + requests++,
            "archive",
            RequestKind.READ,
            List.of(count),
            "default",
            null,
            "session-1",
            after.position(),
            null,
            true,
            null,
            deadline());
    Outcome.Completed done = completed(read);
    return ((SqlValue.Int) done.results().get(0).rows().get(0).get(0)).value();
  }

  private Outcome.Completed completed(GroupRequest request) {
    Outcome outcome = submitUntilServed(request);
    assertThat(outcome).isInstanceOf(Outcome.Completed.class);
    return (Outcome.Completed) outcome;
  }

  /** The home takes a moment to take the locks, and writes of a lost primary end unknown. */
  private Outcome submitUntilServed(GroupRequest request) {
    Instant end = Instant.now().plus(PATIENCE);
    while (true) {
      Outcome outcome = home.submit(request).join();
      boolean again =
          outcome instanceof Outcome.Unknown
              || (outcome instanceof Outcome.NotRun n && n.reason().isTransient());
      if (!again || Instant.now().isAfter(end)) {
        return outcome;
      }
    }
  }

  private GroupRequest request(RequestKind kind, Statement statement, String key) {
    return request(kind, List.of(statement), key);
  }

  private GroupRequest request(RequestKind kind, List<Statement> statements, String key) {
    return new GroupRequest(
        "r" + requests++,
        "archive",
        kind,
        statements,
        "default",
        null,
        "session-1",
        null,
        key,
        false,
        null,
        deadline());
  }

  private GroupRequest inTransaction(RequestKind kind, String handle, Statement... statements) {
    return new GroupRequest(
        "r" + requests++,
        "archive",
        kind,
        List.of(statements),
        "default",
        null,
        "session-1",
        null,
        null,
        false,
        handle,
        deadline());
  }

  private static Instant deadline() {
    return Instant.now().plusSeconds(5);
  }

  private static Statement insert(String id) {
    return new Statement(INSERT, List.of(new SqlValue.Text(id), new SqlValue.Text("x")));
  }

  private static BackendServer declared(StandInServer s) {
    return new BackendServer(s.name(), s.host(), s.port(), "hall-ukkel", 3, 25, ServerState.JOINED);
  }
}

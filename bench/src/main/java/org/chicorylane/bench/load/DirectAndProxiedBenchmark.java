package org.chicorylane.bench.load;

import io.vertx.core.Vertx;
import io.vertx.pgclient.PgConnectOptions;
import io.vertx.pgclient.PgConnection;
import io.vertx.sqlclient.Tuple;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import org.chicorylane.bench.demo.CallerClient;
import org.chicorylane.bench.demo.Reply;
import org.chicorylane.bench.demo.SessionSchema;
import org.chicorylane.standin.database.StandInServer;

/**
 * Compares statements sent directly to a stand-in with the same statements sent through one
 * instance, in alternating slices.
 *
 * <p>Proxied writes include the cost of the request ledger and of the confirmation by a majority,
 * which direct writes do not have.
 */
final class DirectAndProxiedBenchmark {
  private static final String READ = "SELECT version FROM plan WHERE id = $1";
  private static final Duration SLICE = Duration.ofMillis(500);
  private static final Duration WARM_UP = Duration.ofSeconds(3);
  private static final int MAX_CONNECTIONS = 12;

  private final BenchOptions options;
  private final LatencyPlot plot;

  /**
   * The result for one kind of statement on one path, direct or proxied.
   *
   * <p>The executions at the primary include heartbeats and the statements of the surrounding
   * transaction.
   */
  record PathResult(
      LatencySummary latency,
      double statementsPerSecond,
      double processCpuMicrosPerStatement,
      double executionsAtPrimaryPerStatement,
      long failures) {
    static PathResult of(LoadPhase phase, long executions) {
      return new PathResult(
          LatencySummary.of(phase.latency()),
          phase.throughput(),
          phase.cpuMicrosPerRequest(),
          (double) executions / Math.max(1, phase.latency().getTotalCount()),
          phase.failures());
    }
  }

  /** The results of both paths for one kind of statement, and the overhead of the proxied path. */
  record Comparison(
      PathResult direct,
      PathResult proxied,
      double addedP50Millis,
      double addedP99Millis,
      double throughputRatio,
      double addedProcessCpuMicros) {
    static Comparison of(PathResult direct, PathResult proxied) {
      return new Comparison(
          direct,
          proxied,
          proxied.latency().p50Millis() - direct.latency().p50Millis(),
          proxied.latency().p99Millis() - direct.latency().p99Millis(),
          proxied.statementsPerSecond() / direct.statementsPerSecond(),
          proxied.processCpuMicrosPerStatement() - direct.processCpuMicrosPerStatement());
    }
  }

  /** The comparison for reads at the primary and for single inserts. */
  record Report(int sessions, int seconds, Comparison reads, Comparison writes) {}

  DirectAndProxiedBenchmark(BenchOptions options, LatencyPlot plot) {
    this.options = options;
    this.plot = plot;
  }

  Report run() throws InterruptedException {
    if (options.sessions() > MAX_CONNECTIONS) {
      throw new IllegalArgumentException(
          "--sessions takes at most " + MAX_CONNECTIONS + " here, not " + options.sessions());
    }
    Vertx vertx = Vertx.vertx();
    try (BenchFleet fleet = BenchFleet.start(1)) {
      StandInServer primary = fleet.group().newestPrimary();
      if (primary == null) {
        throw new IllegalStateException("the group has no primary");
      }
      List<LoadPhase.Request> directReads = new ArrayList<>();
      List<LoadPhase.Request> directWrites = new ArrayList<>();
      List<LoadPhase.Request> proxiedReads = new ArrayList<>();
      List<LoadPhase.Request> proxiedWrites = new ArrayList<>();
      for (int i = 0; i < options.sessions(); i++) {
        int plan = i;
        PgConnection connection = connect(vertx, primary);
        directReads.add(() -> executeDirectly(connection, READ, Tuple.of(plan)));
        directWrites.add(
            () -> executeDirectly(connection, SessionSchema.CHECK_IN, Tuple.of(newId(), plan)));
        CallerClient caller = fleet.caller();
        proxiedReads.add(
            () ->
                isCompleted(caller.read(BenchFleet.GROUP, "fresh", "lookup", READ, List.of(plan))));
        proxiedWrites.add(() -> writeProxied(caller, plan));
      }
      final Comparison reads = compare("reads", primary, directReads, proxiedReads);
      Comparison writes = compare("writes", primary, directWrites, proxiedWrites);
      return new Report(options.sessions(), options.seconds(), reads, writes);
    } finally {
      vertx.close();
    }
  }

  private Comparison compare(
      String kind,
      StandInServer primary,
      List<LoadPhase.Request> direct,
      List<LoadPhase.Request> proxied)
      throws InterruptedException {
    LoadPhase warmUp = new LoadPhase();
    warmUp.runSlice(direct, WARM_UP, Duration.ZERO);
    warmUp.runSlice(proxied, WARM_UP, Duration.ZERO);
    LoadPhase directPhase = new LoadPhase();
    LoadPhase proxiedPhase = new LoadPhase();
    long directExecutions = 0;
    long proxiedExecutions = 0;
    long slices = Duration.ofSeconds(options.seconds()).dividedBy(SLICE.multipliedBy(2));
    for (long i = 0; i < slices; i++) {
      long start = executionCount(primary);
      directPhase.runSlice(direct, SLICE, Duration.ZERO);
      long middle = executionCount(primary);
      proxiedPhase.runSlice(proxied, SLICE, Duration.ZERO);
      directExecutions += middle - start;
      proxiedExecutions += executionCount(primary) - middle;
    }
    plot.add(kind + ", direct", directPhase.latency());
    plot.add(kind + ", proxied", proxiedPhase.latency());
    return Comparison.of(
        PathResult.of(directPhase, directExecutions),
        PathResult.of(proxiedPhase, proxiedExecutions));
  }

  private static long executionCount(StandInServer server) {
    return server.executions().values().stream().mapToLong(Long::longValue).sum();
  }

  private static PgConnection connect(Vertx vertx, StandInServer server) {
    PgConnectOptions to =
        new PgConnectOptions()
            .setHost(server.host())
            .setPort(server.port())
            .setUser("chicorylane")
            .setPassword("")
            .setDatabase(BenchFleet.GROUP)
            .setCachePreparedStatements(true);
    return PgConnection.connect(vertx, to).toCompletionStage().toCompletableFuture().join();
  }

  private static boolean executeDirectly(PgConnection connection, String sql, Tuple parameters) {
    try {
      connection
          .preparedQuery(sql)
          .execute(parameters)
          .toCompletionStage()
          .toCompletableFuture()
          .join();
      return true;
    } catch (CompletionException e) {
      return false;
    }
  }

  private static boolean writeProxied(CallerClient caller, int plan) {
    String id = newId();
    return isCompleted(
        caller.write(BenchFleet.GROUP, "check-in", SessionSchema.CHECK_IN, List.of(id, plan), id));
  }

  private static boolean isCompleted(Reply reply) {
    return reply.outcome() == Reply.Outcome.COMPLETED;
  }

  private static String newId() {
    return UUID.randomUUID().toString();
  }
}

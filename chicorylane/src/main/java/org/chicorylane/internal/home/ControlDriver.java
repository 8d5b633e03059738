package org.chicorylane.internal.home;

import io.netty.util.concurrent.EventExecutor;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.chicorylane.internal.backend.ConnectResult;
import org.chicorylane.internal.backend.ConnectionPurpose;
import org.chicorylane.internal.backend.LogSequenceNumber;
import org.chicorylane.internal.backend.ServerConnection;
import org.chicorylane.internal.backend.ServerConnector;
import org.chicorylane.internal.backend.StatementOutcome;
import org.chicorylane.internal.declaration.BackendServer;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.chicorylane.internal.failover.ControlCommand;
import org.chicorylane.internal.failover.ControlConnection;
import org.chicorylane.internal.failover.FailoverTimings;
import org.chicorylane.internal.failover.HomeAction;
import org.chicorylane.internal.failover.HomeEvent;
import org.chicorylane.internal.failover.ServerObservation;
import org.chicorylane.internal.statement.SqlValue;
import org.jspecify.annotations.Nullable;

/**
 * Carries out what a {@link org.chicorylane.internal.failover.HomeStateMachine} asks of control
 * connections, and tells it what came of it.
 *
 * <p>Runs on the group's executor only; answers are passed to the sink there, in the order of their
 * actions on a connection.
 */
final class ControlDriver {
  private static final Pattern BLANKS = Pattern.compile("\\s+");
  private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

  private final ServerConnector connector;
  private final EventExecutor executor;
  private final FailoverTimings timings;
  private final String applicationName;
  private final Consumer<HomeEvent> sink;
  private final Map<ControlConnection, Session> sessions = new HashMap<>();
  private final Map<String, String> starts = new HashMap<>();
  private DatabaseGroup group;
  private boolean closed;

  /** An open connection and the end of its queue of commands. */
  private static final class Session {
    private final ServerConnection connection;
    private CompletableFuture<Void> last = CompletableFuture.completedFuture(null);

    Session(ServerConnection connection) {
      this.connection = connection;
    }
  }

  ControlDriver(
      ServerConnector connector,
      EventExecutor executor,
      FailoverTimings timings,
      String processId,
      DatabaseGroup group,
      Consumer<HomeEvent> sink) {
    this.connector = connector;
    this.executor = executor;
    this.timings = timings;
    this.applicationName = ConnectionPurpose.CONTROL.applicationName() + "-" + processId;
    this.group = group;
    this.sink = sink;
  }

  void declare(DatabaseGroup declared) {
    group = declared;
  }

  /** Returns when the server's process started, by its newest control connection. */
  String serverStart(String server) {
    return starts.getOrDefault(server, "");
  }

  /** Closes every connection, also those that are still being opened. */
  void closeAll() {
    closed = true;
    List.copyOf(sessions.keySet()).forEach(this::close);
  }

  boolean hasConnections() {
    return !sessions.isEmpty();
  }

  void run(HomeAction.ConnectionAction action) {
    ControlConnection id = action.connection();
    if (action instanceof HomeAction.OpenControl) {
      open(id);
    } else if (action instanceof HomeAction.CloseControl) {
      close(id);
    } else if (action instanceof HomeAction.TryLock) {
      enqueue(id, this::tryLock);
    } else if (action instanceof HomeAction.EndOthers) {
      enqueue(id, this::endOthers);
    } else if (action instanceof HomeAction.Observe) {
      enqueue(id, this::observe);
    } else if (action instanceof HomeAction.Seal) {
      enqueue(id, this::seal);
    } else if (action instanceof HomeAction.Promote) {
      enqueue(id, this::promote);
    } else if (action instanceof HomeAction.Follow follow) {
      enqueue(id, (i, c) -> follow(i, c, follow.upstream()));
    }
  }

  /** A command; completes when its answer was passed on. */
  @FunctionalInterface
  private interface Command {
    CompletableFuture<Void> run(ControlConnection id, ServerConnection connection);
  }

  private void open(ControlConnection id) {
    BackendServer server = group.server(id.server()).orElse(null);
    if (server == null) {
      sink.accept(new HomeEvent.ControlFailed(id, "the server is not declared"));
      return;
    }
    connector
        .open(group, server, applicationName)
        .thenCompose(this::prepared)
        .thenAcceptAsync(
            r -> {
              if (r instanceof ConnectResult.Opened opened) {
                opened(id, opened.connection());
              } else if (r instanceof ConnectResult.Failed failed) {
                sink.accept(new HomeEvent.ControlFailed(id, failed.reason()));
              }
            },
            executor);
  }

  private CompletableFuture<ConnectResult> prepared(ConnectResult result) {
    if (!(result instanceof ConnectResult.Opened opened)) {
      return CompletableFuture.completedFuture(result);
    }
    return opened
        .connection()
        .runPlain(ControlStatements.SET_IDLE_TIMEOUT)
        .thenApply(
            o ->
                o instanceof StatementOutcome.Ran
                    ? result
                    : new ConnectResult.Failed("the idle timeout could not be set: " + o));
  }

  private void opened(ControlConnection id, ServerConnection connection) {
    if (closed) {
      connection.close();
      return;
    }
    sessions.put(id, new Session(connection));
    starts.put(id.server(), connection.serverStart());
    connection.onClose(() -> executor.execute(() -> lost(id)));
    sink.accept(new HomeEvent.ControlOpened(id));
  }

  private void lost(ControlConnection id) {
    if (sessions.remove(id) != null) {
      sink.accept(new HomeEvent.ControlLost(id, "the connection ended"));
    }
  }

  private void close(ControlConnection id) {
    Session session = sessions.remove(id);
    if (session != null) {
      session.connection.close();
    }
  }

  private void enqueue(ControlConnection id, Command command) {
    Session session = sessions.get(id);
    if (session == null) {
      return;
    }
    session.last =
        session.last.thenComposeAsync(
            v ->
                sessions.get(id) == session
                    ? command.run(id, session.connection)
                    : CompletableFuture.<Void>completedFuture(null),
            executor);
  }

  private CompletableFuture<Void> tryLock(ControlConnection id, ServerConnection c) {
    return c.runPlain(ControlStatements.endOwnSessions(applicationName))
        .thenCompose(o -> c.runPlain(ControlStatements.TRY_LOCK))
        .thenAcceptAsync(
            o ->
                answer(
                    id,
                    ControlCommand.TRY_LOCK,
                    o,
                    ran -> new HomeEvent.LockAnswered(id, isTrue(ran))),
            executor);
  }

  private CompletableFuture<Void> endOthers(ControlConnection id, ServerConnection c) {
    return c.runPlain(ControlStatements.END_WORK)
        .thenCompose(o -> untilZero(c, ControlStatements.COUNT_WORK, pollsLeft()))
        .thenAcceptAsync(
            o -> answer(id, ControlCommand.END_OTHERS, o, ran -> new HomeEvent.OthersEnded(id)),
            executor);
  }

  private CompletableFuture<Void> observe(ControlConnection id, ServerConnection c) {
    return c.runPlain(ControlStatements.OBSERVE)
        .thenAcceptAsync(
            o ->
                answer(
                    id,
                    ControlCommand.OBSERVE,
                    o,
                    ran -> new HomeEvent.Observed(id, observation(ran))),
            executor);
  }

  private CompletableFuture<Void> seal(ControlConnection id, ServerConnection c) {
    return c.runPlain(ControlStatements.STOP_FOLLOWING)
        .thenCompose(o -> thenUnlessFailed(o, () -> c.runPlain(ControlStatements.RELOAD)))
        .thenCompose(
            o ->
                thenUnlessFailed(
                    o, () -> untilZero(c, ControlStatements.COUNT_RECEIVERS, pollsLeft())))
        .thenCompose(o -> thenUnlessFailed(o, () -> c.runPlain(ControlStatements.OBSERVE)))
        .thenAcceptAsync(
            o ->
                answer(
                    id,
                    ControlCommand.SEAL,
                    o,
                    ran -> {
                      ServerObservation seen = observation(ran);
                      return new HomeEvent.SealAnswered(id, seen.timeline(), seen.offset());
                    }),
            executor);
  }

  private CompletableFuture<Void> promote(ControlConnection id, ServerConnection c) {
    return c.runPlain(ControlStatements.OBSERVE)
        .thenCompose(
            before ->
                thenUnlessFailed(before, () -> c.runPlain(ControlStatements.PROMOTE))
                    .thenCompose(
                        o -> thenUnlessFailed(o, () -> c.runPlain(ControlStatements.OBSERVE)))
                    .thenAcceptAsync(
                        o ->
                            answer(
                                id,
                                ControlCommand.PROMOTE,
                                o,
                                ran ->
                                    new HomeEvent.Promoted(
                                        id,
                                        observation(ran).timeline(),
                                        observation((StatementOutcome.Ran) before).offset())),
                        executor));
  }

  private CompletableFuture<Void> follow(
      ControlConnection id, ServerConnection c, String upstreamName) {
    BackendServer upstream = group.server(upstreamName).orElse(null);
    if (upstream == null) {
      String reason = "server \"" + upstreamName + "\" is not declared";
      sink.accept(new HomeEvent.ControlActionFailed(id, ControlCommand.FOLLOW, reason));
      return CompletableFuture.completedFuture(null);
    }
    return c.runPlain(ControlStatements.follow(group, upstream))
        .thenCompose(o -> thenUnlessFailed(o, () -> c.runPlain(ControlStatements.RELOAD)))
        .thenAcceptAsync(
            o -> answer(id, ControlCommand.FOLLOW, o, ran -> new HomeEvent.Followed(id)), executor);
  }

  /** Turns the answer of a command into an event of it. */
  @FunctionalInterface
  private interface EventOf {
    HomeEvent of(StatementOutcome.Ran ran);
  }

  private void answer(
      ControlConnection id, ControlCommand command, StatementOutcome outcome, EventOf event) {
    Session session = sessions.get(id);
    if (session == null) {
      return;
    }
    if (outcome instanceof StatementOutcome.Ran ran) {
      sink.accept(event.of(ran));
    } else if (outcome instanceof StatementOutcome.Refused refused) {
      String reason = refused.sqlState() + " " + refused.message();
      sink.accept(new HomeEvent.ControlActionFailed(id, command, reason));
    } else {
      session.connection.close();
      lost(id);
    }
  }

  private static CompletableFuture<StatementOutcome> thenUnlessFailed(
      StatementOutcome outcome, Step next) {
    return outcome instanceof StatementOutcome.Ran
        ? next.run()
        : CompletableFuture.completedFuture(outcome);
  }

  /** The next statement of a command. */
  @FunctionalInterface
  private interface Step {
    CompletableFuture<StatementOutcome> run();
  }

  private CompletableFuture<StatementOutcome> untilZero(
      ServerConnection c, String countSql, long pollsLeft) {
    return c.runPlain(countSql)
        .thenCompose(
            o -> {
              if (!(o instanceof StatementOutcome.Ran ran) || isZero(ran)) {
                return CompletableFuture.completedFuture(o);
              }
              if (pollsLeft <= 0) {
                return CompletableFuture.<StatementOutcome>completedFuture(
                    new StatementOutcome.Refused("57014", "still not zero: " + countSql));
              }
              return later(() -> untilZero(c, countSql, pollsLeft - 1));
            });
  }

  private CompletableFuture<StatementOutcome> later(Step step) {
    CompletableFuture<StatementOutcome> result = new CompletableFuture<>();
    executor.schedule(
        () -> step.run().thenAccept(result::complete),
        POLL_INTERVAL.toMillis(),
        TimeUnit.MILLISECONDS);
    return result;
  }

  private long pollsLeft() {
    return timings.commandTimeout().toMillis() / POLL_INTERVAL.toMillis() / 2;
  }

  private static ServerObservation observation(StatementOutcome.Ran ran) {
    List<SqlValue> row = ran.result().rows().get(0);
    boolean inRecovery = row.get(0) instanceof SqlValue.Bool b && b.value();
    long timeline = row.get(1) instanceof SqlValue.Int i ? i.value() : 0;
    long replayed = offset(row.get(3));
    long received = Math.max(offset(row.get(2)), replayed);
    return new ServerObservation(inRecovery, timeline, received, replayed, upstream(row.get(4)));
  }

  private static long offset(SqlValue value) {
    return value instanceof SqlValue.Text t ? LogSequenceNumber.parse(t.value()) : 0;
  }

  private static @Nullable String upstream(SqlValue connectionInfo) {
    if (!(connectionInfo instanceof SqlValue.Text text)) {
      return null;
    }
    String host = "";
    String port = "";
    for (String part : BLANKS.splitAsStream(text.value()).toList()) {
      if (part.startsWith("host=")) {
        host = part.substring("host=".length());
      } else if (part.startsWith("port=")) {
        port = part.substring("port=".length());
      }
    }
    return host.isEmpty() ? null : host + ":" + port;
  }

  private static boolean isTrue(StatementOutcome.Ran ran) {
    return ran.result().rows().get(0).get(0) instanceof SqlValue.Bool b && b.value();
  }

  private static boolean isZero(StatementOutcome.Ran ran) {
    return ran.result().rows().get(0).get(0) instanceof SqlValue.Int i && i.value() == 0;
  }
}

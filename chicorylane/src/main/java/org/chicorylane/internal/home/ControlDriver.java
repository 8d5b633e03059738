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
 * Performs the actions of a {@link org.chicorylane.internal.failover.HomeStateMachine} on control
 * connections to the backend servers, and reports their results as events.
 *
 * <p>Runs on the group's executor only. Events are passed to the event sink there; on each
 * connection they have the order of their actions.
 */
final class ControlDriver {
  private static final Pattern WHITESPACE = Pattern.compile("\\s+");
  private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

  private final ServerConnector connector;
  private final EventExecutor executor;
  private final FailoverTimings timings;
  private final String applicationName;
  private final Consumer<HomeEvent> eventSink;
  private final Map<ControlConnection, Session> sessions = new HashMap<>();
  private final Map<String, String> serverStarts = new HashMap<>();
  private DatabaseGroup group;
  private boolean closed;

  /** An open connection; its commands run one after another. */
  private static final class Session {
    private final ServerConnection connection;

    /** Completes when the command that was enqueued last is done. */
    private CompletableFuture<Void> lastCommand = CompletableFuture.completedFuture(null);

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
      Consumer<HomeEvent> eventSink) {
    this.connector = connector;
    this.executor = executor;
    this.timings = timings;
    this.applicationName = ConnectionPurpose.CONTROL.applicationName() + "-" + processId;
    this.group = group;
    this.eventSink = eventSink;
  }

  void updateGroup(DatabaseGroup newGroup) {
    group = newGroup;
  }

  /**
   * Returns the start time of the server's process as its newest control connection reported it;
   * empty if there was none.
   */
  String serverStart(String server) {
    return serverStarts.getOrDefault(server, "");
  }

  /** Closes every connection; those still being opened are closed once they are open. */
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
      enqueue(id, this::endOtherSessions);
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

  /** A command on a control connection; completes when its event has been emitted. */
  @FunctionalInterface
  private interface Command {
    CompletableFuture<Void> run(ControlConnection id, ServerConnection connection);
  }

  private void open(ControlConnection id) {
    BackendServer server = group.server(id.server()).orElse(null);
    if (server == null) {
      eventSink.accept(new HomeEvent.ControlFailed(id, "the server is not declared"));
      return;
    }
    connector
        .open(group, server, applicationName)
        .thenCompose(this::configureSession)
        .thenAcceptAsync(
            r -> {
              if (r instanceof ConnectResult.Opened opened) {
                onOpened(id, opened.connection());
              } else if (r instanceof ConnectResult.Failed failed) {
                eventSink.accept(new HomeEvent.ControlFailed(id, failed.reason()));
              }
            },
            executor);
  }

  private CompletableFuture<ConnectResult> configureSession(ConnectResult result) {
    if (!(result instanceof ConnectResult.Opened opened)) {
      return CompletableFuture.completedFuture(result);
    }
    return opened
        .connection()
        .runSimpleQuery(ControlStatements.SET_IDLE_TIMEOUT)
        .thenApply(
            o ->
                o instanceof StatementOutcome.Ran
                    ? result
                    : new ConnectResult.Failed("the idle timeout could not be set: " + o));
  }

  private void onOpened(ControlConnection id, ServerConnection connection) {
    if (closed) {
      connection.close();
      return;
    }
    sessions.put(id, new Session(connection));
    serverStarts.put(id.server(), connection.serverStart());
    connection.onClose(() -> executor.execute(() -> onLost(id)));
    eventSink.accept(new HomeEvent.ControlOpened(id));
  }

  private void onLost(ControlConnection id) {
    if (sessions.remove(id) != null) {
      eventSink.accept(new HomeEvent.ControlLost(id, "the connection ended"));
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
    session.lastCommand =
        session.lastCommand.thenComposeAsync(
            v ->
                sessions.get(id) == session
                    ? command.run(id, session.connection)
                    : CompletableFuture.<Void>completedFuture(null),
            executor);
  }

  /** Ends older control sessions of this process, which may hold the lock, and tries to lock. */
  private CompletableFuture<Void> tryLock(ControlConnection id, ServerConnection c) {
    return c.runSimpleQuery(ControlStatements.terminateOwnSessions(applicationName))
        .thenCompose(o -> c.runSimpleQuery(ControlStatements.TRY_LOCK))
        .thenAcceptAsync(
            o ->
                emitAnswer(
                    id,
                    ControlCommand.TRY_LOCK,
                    o,
                    ran -> new HomeEvent.LockAnswered(id, isTrue(ran))),
            executor);
  }

  /** Ends the work sessions of all instances on the server and waits until they are gone. */
  private CompletableFuture<Void> endOtherSessions(ControlConnection id, ServerConnection c) {
    return c.runSimpleQuery(ControlStatements.TERMINATE_WORK_SESSIONS)
        .thenCompose(o -> pollUntilZero(c, ControlStatements.COUNT_WORK_SESSIONS, maxPolls()))
        .thenAcceptAsync(
            o -> emitAnswer(id, ControlCommand.END_OTHERS, o, ran -> new HomeEvent.OthersEnded(id)),
            executor);
  }

  private CompletableFuture<Void> observe(ControlConnection id, ServerConnection c) {
    return c.runSimpleQuery(ControlStatements.OBSERVE)
        .thenAcceptAsync(
            o ->
                emitAnswer(
                    id,
                    ControlCommand.OBSERVE,
                    o,
                    ran -> new HomeEvent.Observed(id, parseObservation(ran))),
            executor);
  }

  /**
   * Makes a replica stop accepting the old primary's log: clears its upstream, waits until it has
   * no WAL receiver, and reads its position.
   */
  private CompletableFuture<Void> seal(ControlConnection id, ServerConnection c) {
    return c.runSimpleQuery(ControlStatements.CLEAR_UPSTREAM)
        .thenCompose(o -> continueIfRan(o, () -> c.runSimpleQuery(ControlStatements.RELOAD)))
        .thenCompose(
            o ->
                continueIfRan(
                    o, () -> pollUntilZero(c, ControlStatements.COUNT_WAL_RECEIVERS, maxPolls())))
        .thenCompose(o -> continueIfRan(o, () -> c.runSimpleQuery(ControlStatements.OBSERVE)))
        .thenAcceptAsync(
            o ->
                emitAnswer(
                    id,
                    ControlCommand.SEAL,
                    o,
                    ran -> {
                      ServerObservation observed = parseObservation(ran);
                      return new HomeEvent.SealAnswered(id, observed.timeline(), observed.offset());
                    }),
            executor);
  }

  private CompletableFuture<Void> promote(ControlConnection id, ServerConnection c) {
    return c.runSimpleQuery(ControlStatements.OBSERVE)
        .thenCompose(
            before ->
                continueIfRan(before, () -> c.runSimpleQuery(ControlStatements.PROMOTE))
                    .thenCompose(
                        o -> continueIfRan(o, () -> c.runSimpleQuery(ControlStatements.OBSERVE)))
                    .thenAcceptAsync(
                        o ->
                            emitAnswer(
                                id,
                                ControlCommand.PROMOTE,
                                o,
                                ran ->
                                    new HomeEvent.Promoted(
                                        id,
                                        parseObservation(ran).timeline(),
                                        parseObservation((StatementOutcome.Ran) before).offset())),
                        executor));
  }

  private CompletableFuture<Void> follow(
      ControlConnection id, ServerConnection c, String upstreamName) {
    BackendServer upstream = group.server(upstreamName).orElse(null);
    if (upstream == null) {
      String reason = "server \"" + upstreamName + "\" is not declared";
      eventSink.accept(new HomeEvent.ControlActionFailed(id, ControlCommand.FOLLOW, reason));
      return CompletableFuture.completedFuture(null);
    }
    return c.runSimpleQuery(ControlStatements.setUpstream(group, upstream))
        .thenCompose(o -> continueIfRan(o, () -> c.runSimpleQuery(ControlStatements.RELOAD)))
        .thenAcceptAsync(
            o -> emitAnswer(id, ControlCommand.FOLLOW, o, ran -> new HomeEvent.Followed(id)),
            executor);
  }

  /** Converts the result of a command into its event. */
  @FunctionalInterface
  private interface AnswerToEvent {
    HomeEvent convert(StatementOutcome.Ran ran);
  }

  /**
   * Emits the event of a command that ran or was refused; ignored if the connection is closed. A
   * lost outcome closes the connection.
   */
  private void emitAnswer(
      ControlConnection id,
      ControlCommand command,
      StatementOutcome outcome,
      AnswerToEvent toEvent) {
    Session session = sessions.get(id);
    if (session == null) {
      return;
    }
    if (outcome instanceof StatementOutcome.Ran ran) {
      eventSink.accept(toEvent.convert(ran));
    } else if (outcome instanceof StatementOutcome.Refused refused) {
      String reason = refused.sqlState() + " " + refused.message();
      eventSink.accept(new HomeEvent.ControlActionFailed(id, command, reason));
    } else {
      session.connection.close();
      onLost(id);
    }
  }

  private static CompletableFuture<StatementOutcome> continueIfRan(
      StatementOutcome outcome, Step next) {
    return outcome instanceof StatementOutcome.Ran
        ? next.run()
        : CompletableFuture.completedFuture(outcome);
  }

  /** A further statement of a command. */
  @FunctionalInterface
  private interface Step {
    CompletableFuture<StatementOutcome> run();
  }

  /** Repeats a counting query until it returns 0; refused with query_canceled if it does not. */
  private CompletableFuture<StatementOutcome> pollUntilZero(
      ServerConnection c, String countSql, long pollsLeft) {
    return c.runSimpleQuery(countSql)
        .thenCompose(
            o -> {
              if (!(o instanceof StatementOutcome.Ran ran) || isZero(ran)) {
                return CompletableFuture.completedFuture(o);
              }
              if (pollsLeft <= 0) {
                return CompletableFuture.<StatementOutcome>completedFuture(
                    new StatementOutcome.Refused("57014", "still not zero: " + countSql));
              }
              return runLater(() -> pollUntilZero(c, countSql, pollsLeft - 1));
            });
  }

  private CompletableFuture<StatementOutcome> runLater(Step step) {
    CompletableFuture<StatementOutcome> result = new CompletableFuture<>();
    executor.schedule(
        () -> step.run().thenAccept(result::complete),
        POLL_INTERVAL.toMillis(),
        TimeUnit.MILLISECONDS);
    return result;
  }

  /** Returns how many polls fit into half of the command timeout. */
  private long maxPolls() {
    return timings.commandTimeout().toMillis() / POLL_INTERVAL.toMillis() / 2;
  }

  private static ServerObservation parseObservation(StatementOutcome.Ran ran) {
    List<SqlValue> row = ran.result().rows().get(0);
    boolean inRecovery = row.get(0) instanceof SqlValue.Bool b && b.value();
    long timeline = row.get(1) instanceof SqlValue.Int i ? i.value() : 0;
    long replayed = parseOffset(row.get(3));
    long received = Math.max(parseOffset(row.get(2)), replayed);
    return new ServerObservation(
        inRecovery, timeline, received, replayed, parseUpstream(row.get(4)));
  }

  private static long parseOffset(SqlValue value) {
    return value instanceof SqlValue.Text t ? LogSequenceNumber.parse(t.value()) : 0;
  }

  private static @Nullable String parseUpstream(SqlValue connectionInfo) {
    if (!(connectionInfo instanceof SqlValue.Text text)) {
      return null;
    }
    String host = "";
    String port = "";
    for (String part : WHITESPACE.splitAsStream(text.value()).toList()) {
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

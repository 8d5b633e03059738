package org.chicorylane.internal.pool;

import java.time.Duration;
import java.util.List;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.passthrough.ServerStatus;
import org.chicorylane.internal.passthrough.UnexpectedAnswer;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.AttentionClock;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * Failure detector for the servers of a pool: keeps a control connection to each server, requests
 * the status of servers that have not answered for a while, and detects lost and returning servers.
 *
 * <p>Confined to the instance's thread.
 */
final class ServerMonitor {

  /** Time without an answer after which a server running statements is sent a status request. */
  private static final long BUSY_STATUS_NANOS = Duration.ofMillis(200).toNanos();

  /** Time without an answer to a status request after which a server is considered lost. */
  private static final long STATUS_TIMEOUT_NANOS = Duration.ofMillis(300).toNanos();

  /** Time without an answer after which a server without statements is sent a status request. */
  private static final long IDLE_STATUS_NANOS = Duration.ofMillis(450).toNanos();

  /**
   * Interval of status requests to a server that answers statements, to check its role and term.
   */
  private static final long ROLE_CHECK_INTERVAL_NANOS = Duration.ofSeconds(3).toNanos();

  /** Minimum interval between attempts to open a control connection. */
  private static final long RECONNECT_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();

  /** The pool whose servers are monitored. */
  interface Pool {
    /** Returns whether the pool has been stopped. */
    boolean isStopped();

    /** Closes all connections to a server, including the control connection. */
    void closeConnections(PoolServer server);

    /** Records the position in a server's answer to a request sent at {@code sentNanos}. */
    void onAnswer(PoolServer server, long sentNanos, Answer answer);

    /** Dispatches waiting work, after the state of a server has changed. */
    void onChange();
  }

  private final String group;
  private final ServerConnector connector;
  private final Scheduler scheduler;
  private final AttentionClock attention;
  private final DecisionLog log;
  private final PoolMetrics metrics;
  private final PoolListener listener;
  private final Pool pool;
  private final UnexpectedAnswers unexpected;

  ServerMonitor(
      String group,
      ServerConnector connector,
      Scheduler scheduler,
      AttentionClock attention,
      DecisionLog log,
      PoolMetrics metrics,
      PoolListener listener,
      Pool pool) {
    this.group = group;
    this.connector = connector;
    this.scheduler = scheduler;
    this.attention = attention;
    this.log = log;
    this.metrics = metrics;
    this.listener = listener;
    this.pool = pool;
    this.unexpected = new UnexpectedAnswers(log, metrics);
  }

  /**
   * Checks each server; called periodically.
   *
   * @param primaryPositionStale whether the last known position of the primary is too old
   */
  void checkServers(List<PoolServer> servers, boolean primaryPositionStale) {
    long now = scheduler.nanoTime();
    for (PoolServer s : servers) {
      if (s.control == null) {
        openControl(s);
      } else if (s.statusPending) {
        if (attention.nanoTime() - s.statusSentAttentiveNanos > STATUS_TIMEOUT_NANOS) {
          markLost(s, ServerLoss.SILENT, "no answer to a status question for 300 ms");
        }
      } else if (now - s.lastContactNanos > (s.inFlight > 0 ? BUSY_STATUS_NANOS : IDLE_STATUS_NANOS)
          || now - s.statusSentNanos > ROLE_CHECK_INTERVAL_NANOS
          || (s.primary && primaryPositionStale)) {
        if (s.inFlight > 0 && now - s.lastContactNanos > BUSY_STATUS_NANOS) {
          listener.onServerUnresponsive(s.backend.id());
        }
        requestStatus(s);
      }
    }
  }

  /**
   * Opens the control connection of a server. Does nothing if it is open or being opened, if the
   * server was removed, or before the next attempt is due.
   */
  void openControl(PoolServer s) {
    long now = scheduler.nanoTime();
    if (s.control != null || s.openingControl || s.removed || now < s.retryAtNanos) {
      return;
    }
    s.openingControl = true;
    s.retryAtNanos = now + RECONNECT_INTERVAL_NANOS;
    connector.connect(s.target(null), new ControlListener(s));
  }

  /** Listener for the control connection, over which a server is monitored and sent commands. */
  private final class ControlListener implements ServerConnector.Listener {
    private final PoolServer server;
    private @Nullable ServerLink link;

    ControlListener(PoolServer server) {
      this.server = server;
    }

    @Override
    public void onOpen(ServerLink opened, @Nullable LogPosition position) {
      server.openingControl = false;
      if (pool.isStopped() || server.removed) {
        opened.close();
        return;
      }
      link = opened;
      server.control = opened;
      server.unreachable = false;
      server.lastContactNanos = scheduler.nanoTime();
      server.updatePosition(position);
      log.event(DecisionLog.Priority.BELIEF, "server-reached")
          .with("group", group)
          .with("server", server.backend.id())
          .with("position", position)
          .write();
      requestStatus(server);
      pool.onChange();
    }

    @Override
    public void onFailure(ServerConnector.ConnectFailure failure, String detail) {
      server.openingControl = false;
      ServerLoss loss =
          switch (failure) {
            case REFUSED -> ServerLoss.REFUSED;
            case SILENT -> ServerLoss.SILENT;
            case REJECTED -> ServerLoss.REJECTED;
          };
      markLost(server, loss, detail);
    }

    @Override
    public void onClosed() {
      if (server.control == link) {
        server.control = null;
        server.statusPending = false;
        openControl(server);
      }
    }

    @Override
    public void onUnexpected(UnexpectedAnswer answer) {
      unexpected.record(server, answer);
    }
  }

  private void requestStatus(PoolServer s) {
    ServerLink control = s.control;
    if (control == null || s.statusPending) {
      return;
    }
    s.statusPending = true;
    long sent = scheduler.nanoTime();
    s.statusSentNanos = sent;
    s.statusSentAttentiveNanos = attention.nanoTime();
    final int ownLoad = s.ownLoad();
    control.send(
        new ServerCommand.Status(),
        new ServerLink.AnswerHandler() {
          @Override
          public void onAnswer(Answer answer) {
            s.statusPending = false;
            pool.onAnswer(s, sent, answer);
            recordLoad(s, answer, Math.max(ownLoad, s.ownLoad()));
            if (answer.status() != null) {
              listener.onServerStatus(s.backend.id(), answer.status(), sent);
            }
            pool.onChange();
          }

          @Override
          public void onLost() {
            s.statusPending = false;
          }
        });
  }

  private void recordLoad(PoolServer s, Answer answer, int ownLoad) {
    ServerStatus status = answer.status();
    if (answer.failedWith(FailureCode.OVERLOADED)) {
      s.load.onReport(s.slots() + 1, ownLoad, scheduler.nanoTime());
    } else if (status != null && status.busySlots() != null) {
      s.load.onReport(status.busySlots(), ownLoad, scheduler.nanoTime());
    }
  }

  /** Marks a server as lost, closes its connections and notifies the listener. */
  void markLost(PoolServer s, ServerLoss loss, String detail) {
    if (s.removed || pool.isStopped()) {
      return;
    }
    final boolean newlyLost = !s.unreachable;
    s.unreachable = true;
    s.retryAtNanos = scheduler.nanoTime() + RECONNECT_INTERVAL_NANOS;
    pool.closeConnections(s);
    if (newlyLost) {
      metrics.recordServerLoss();
      log.event(DecisionLog.Priority.BELIEF, "server-lost")
          .with("group", group)
          .with("server", s.backend.id())
          .with("reason", detail)
          .with("silent_ms", (scheduler.nanoTime() - s.lastContactNanos) / 1_000_000)
          .write();
    }
    listener.onServerLost(s.backend.id(), loss);
  }
}

package org.chicorylane.internal.pool;

import java.time.Duration;
import java.util.List;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * Keeps a control connection to each server of a pool, asks quiet servers for their status, and
 * notices those that are lost and those that are back.
 *
 * <p>Confined to the instance's thread.
 */
final class ServerMonitor {

  /** Time without an answer after which a server is asked for its status. */
  private static final long SILENCE_NANOS = Duration.ofMillis(200).toNanos();

  /** Time within which a status must come before the server counts as lost. */
  private static final long STATUS_TIMEOUT_NANOS = Duration.ofMillis(300).toNanos();

  /** How often a quiet server is asked for its status. */
  private static final long STATUS_INTERVAL_NANOS = Duration.ofMillis(450).toNanos();

  /** How often a server that answers statements is asked for its role and term. */
  private static final long ROLE_CHECK_NANOS = Duration.ofSeconds(3).toNanos();

  /** Pause between attempts to reach a server that is lost. */
  private static final long RECONNECT_NANOS = Duration.ofMillis(250).toNanos();

  /** The pool whose servers are watched. */
  interface Pool {
    /** Returns whether the pool has ended. */
    boolean isStopped();

    /** Closes all connections to a server. */
    void closeConnections(PoolServer server);

    /** Takes the position in an answer to a question sent at {@code sentNanos}. */
    void onAnswer(PoolServer server, long sentNanos, Answer answer);

    /** Looks again for what can be sent. */
    void onChange();
  }

  private final String group;
  private final ServerConnector connector;
  private final Scheduler scheduler;
  private final DecisionLog log;
  private final PoolMetrics metrics;
  private final PoolListener listener;
  private final Pool pool;

  ServerMonitor(
      String group,
      ServerConnector connector,
      Scheduler scheduler,
      DecisionLog log,
      PoolMetrics metrics,
      PoolListener listener,
      Pool pool) {
    this.group = group;
    this.connector = connector;
    this.scheduler = scheduler;
    this.log = log;
    this.metrics = metrics;
    this.listener = listener;
    this.pool = pool;
  }

  /**
   * Looks at each server; called often.
   *
   * @param primaryIsQuiet whether the primary's position was not heard for a while
   */
  void tick(List<PoolServer> servers, boolean primaryIsQuiet) {
    long now = scheduler.nanoTime();
    for (PoolServer s : servers) {
      if (s.control == null) {
        openControl(s);
      } else if (s.statusOutstanding) {
        if (now - s.statusSentNanos > STATUS_TIMEOUT_NANOS) {
          fail(s, ServerLoss.SILENT, "no answer to a status question for 300 ms");
        }
      } else if (now - s.lastHeardNanos > (s.busy > 0 ? SILENCE_NANOS : STATUS_INTERVAL_NANOS)
          || now - s.statusSentNanos > ROLE_CHECK_NANOS
          || (s.primary && primaryIsQuiet)) {
        if (s.busy > 0 && now - s.lastHeardNanos > SILENCE_NANOS) {
          listener.onServerUnresponsive(s.entry.id());
        }
        askStatus(s);
      }
    }
  }

  /** Opens the control connection of a server, unless there is one or it is too early. */
  void openControl(PoolServer s) {
    long now = scheduler.nanoTime();
    if (s.control != null || s.controlOpening || s.gone || now < s.retryAtNanos) {
      return;
    }
    s.controlOpening = true;
    s.retryAtNanos = now + RECONNECT_NANOS;
    connector.connect(s.target(), new Control(s));
  }

  /** Follows the connection on which a server is watched and steered. */
  private final class Control implements ServerConnector.Listener {
    private final PoolServer server;
    private @Nullable ServerLink link;

    Control(PoolServer server) {
      this.server = server;
    }

    @Override
    public void onOpen(ServerLink opened, @Nullable LogPosition position) {
      server.controlOpening = false;
      if (pool.isStopped() || server.gone) {
        opened.close();
        return;
      }
      link = opened;
      server.control = opened;
      server.unreachable = false;
      server.lastHeardNanos = scheduler.nanoTime();
      server.onPosition(position);
      log.event(DecisionLog.Priority.BELIEF, "server-reached")
          .with("group", group)
          .with("server", server.entry.id())
          .with("position", position)
          .write();
      askStatus(server);
      pool.onChange();
    }

    @Override
    public void onFailure(ServerConnector.ConnectFailure failure, String detail) {
      server.controlOpening = false;
      ServerLoss loss =
          switch (failure) {
            case REFUSED -> ServerLoss.REFUSED;
            case SILENT -> ServerLoss.SILENT;
            case REJECTED -> ServerLoss.REJECTED;
          };
      fail(server, loss, detail);
    }

    @Override
    public void onClosed() {
      if (server.control == link) {
        server.control = null;
        server.statusOutstanding = false;
        server.retryAtNanos = 0;
        openControl(server);
      }
    }
  }

  private void askStatus(PoolServer s) {
    ServerLink control = s.control;
    if (control == null || s.statusOutstanding) {
      return;
    }
    s.statusOutstanding = true;
    long sent = scheduler.nanoTime();
    s.statusSentNanos = sent;
    control.send(
        new ServerCommand.Status(),
        new ServerLink.AnswerHandler() {
          @Override
          public void onAnswer(Answer answer) {
            s.statusOutstanding = false;
            pool.onAnswer(s, sent, answer);
            if (answer.status() != null) {
              listener.onServerStatus(s.entry.id(), answer.status());
            }
            pool.onChange();
          }

          @Override
          public void onLost() {
            s.statusOutstanding = false;
          }
        });
  }

  /** Takes a server for lost, and its connections with it. */
  void fail(PoolServer s, ServerLoss loss, String detail) {
    if (s.gone || pool.isStopped()) {
      return;
    }
    final boolean news = !s.unreachable;
    s.unreachable = true;
    s.retryAtNanos = scheduler.nanoTime() + RECONNECT_NANOS;
    pool.closeConnections(s);
    if (news) {
      metrics.serverLost();
      log.event(DecisionLog.Priority.BELIEF, "server-lost")
          .with("group", group)
          .with("server", s.entry.id())
          .with("reason", detail)
          .with("silent_ms", (scheduler.nanoTime() - s.lastHeardNanos) / 1_000_000)
          .write();
    }
    listener.onServerLost(s.entry.id(), loss);
  }
}

package org.chicorylane.internal.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.BackendServer;
import org.chicorylane.internal.topology.DrainLimit;
import org.jspecify.annotations.Nullable;

/**
 * One backend server of a group as seen by the group's home: its state, its load and the
 * connections to it.
 */
final class PoolServer {

  /** Weight of the newest answer in the moving average of the slowness. */
  private static final double SLOWNESS_WEIGHT = 0.1;

  /**
   * Service times added to the expected wait for a slot, so that no statement waits at a server
   * while another one of similar speed has a slot free.
   */
  private static final double QUEUE_WEIGHT = 1;

  /** Weight of the room that a statement takes, in relation to its expected answer time. */
  private static final double ROOM_WEIGHT = 0.25;

  /** Lag assumed for a replica that has not reported its position, in milliseconds. */
  private static final long UNKNOWN_LAG_MILLIS = 60_000;

  BackendServer backend;
  private final DrainLimit drainLimit;
  boolean primary;
  boolean removed;

  /** Number of statements in flight, including those whose connection is being set up. */
  int inFlight;

  /** Number of connections that are being opened. */
  int opening;

  /** Number of connections that are being opened, by account; none where the number is 0. */
  final Map<String, Integer> openingByAccount = new HashMap<>();

  /** Earliest time of the next attempt to open a connection for an account. */
  long openNotBeforeNanos;

  /** Failures in a row to open a connection for an account. */
  int openFailures;

  /** Number of connections with which the server, which has other callers, refused another one. */
  int refusedAtConnections;

  /** Time until which the server is not expected to accept more connections than that. */
  long refusedUntilNanos = Long.MIN_VALUE;

  final Set<PooledConnection> connections = new HashSet<>();
  final Deque<PooledConnection> idle = new ArrayDeque<>();
  @Nullable ServerLink control;
  boolean openingControl;
  boolean statusPending;
  long statusSentNanos;

  /** Time by the {@code AttentionClock} at which the last status request was sent. */
  long statusSentAttentiveNanos;

  long lastContactNanos;
  LogPosition position = LogPosition.ZERO;
  long lagMillis = UNKNOWN_LAG_MILLIS;

  /** The load that other instances put on the server. */
  final ServerLoad load = new ServerLoad();

  final AnswerHistory history = new AnswerHistory();
  final OutlierDetector.Ejection ejection = new OutlierDetector.Ejection();

  /** Ratio of the server's service times to those expected of its statements; 1 is as expected. */
  double slowness = 1;

  /** Whether the server is considered lost, until a control connection to it opens again. */
  boolean unreachable;

  /** Earliest time of the next attempt to open the control connection. */
  long retryAtNanos;

  PoolServer(BackendServer backend, DrainLimit drainLimit) {
    this.backend = backend;
    this.drainLimit = drainLimit;
  }

  /**
   * Returns the target of a connection, which runs the statements of {@code account} if not null.
   */
  ServerConnector.Target target(@Nullable String account) {
    return new ServerConnector.Target(backend.group(), backend.id(), backend.address(), account);
  }

  boolean isUsable() {
    return !removed && !unreachable;
  }

  /**
   * Returns whether the server may be sent a single statement or the first one of a transaction. A
   * draining replica takes none; a draining primary, which nothing may be able to replace yet,
   * takes some for a limited time.
   */
  boolean acceptsNewWork() {
    return isUsable()
        && (!backend.draining() || (primary && drainLimit.remainingNanos(backend) > 0));
  }

  /** Returns the number of statements that the server runs at the same time. */
  int slots() {
    return Math.max(1, backend.slots());
  }

  /** Returns the number of slots of average speed that do as much work as the server's slots. */
  double effectiveSlots() {
    return slots() / slowness;
  }

  /** Returns the number of slots that this instance's statements and handshakes need. */
  int ownLoad() {
    return inFlight + opening;
  }

  /**
   * Returns the cost of sending a statement now: the expected time until its answer in service
   * times, and a share of it for the room that the statement takes from later ones.
   *
   * @param foreign the estimated number of slots that other instances occupy
   */
  double cost(double foreign) {
    double fill = (ownLoad() + foreign + 1) / slots();
    double wait = fill <= 1 ? 0 : fill - 1 + QUEUE_WEIGHT;
    return slowness * (1 + wait + ROOM_WEIGHT * fill);
  }

  /** Records that a statement occupied a slot for {@code nanos}. */
  void onServed(double nanos, double expectedNanos) {
    slowness += SLOWNESS_WEIGHT * (nanos / expectedNanos - slowness);
  }

  /** Returns whether a connection of {@code account} is idle. */
  boolean hasIdle(String account) {
    return idle.stream().anyMatch(c -> c.account.equals(account));
  }

  /** Returns the number of connections of {@code account}, those being opened included. */
  int countOf(String account) {
    int count = openingByAccount.getOrDefault(account, 0);
    for (PooledConnection c : connections) {
      if (c.account.equals(account)) {
        count++;
      }
    }
    return count;
  }

  /** Returns the number of connections of {@code account} that transactions hold. */
  int pinnedOf(String account) {
    int count = 0;
    for (PooledConnection c : connections) {
      if (c.transaction != null && c.account.equals(account)) {
        count++;
      }
    }
    return count;
  }

  void updatePosition(@Nullable LogPosition reported) {
    if (reported != null) {
      position = reported;
    }
  }

  /** Forgets what is known of a server that was replaced or restarted. */
  void clearState() {
    position = LogPosition.ZERO;
    lagMillis = UNKNOWN_LAG_MILLIS;
    load.clear();
    history.clearOutcomes();
    ejection.end();
  }

  /**
   * Removes and returns the idle connection of {@code account} that needs the fewest commands to
   * set {@code values}; of several, the one used last. Returns null if no connection is idle.
   *
   * @param begins whether a transaction is to begin on the connection
   */
  @Nullable PooledConnection takeIdle(String account, Map<String, String> values, boolean begins) {
    PooledConnection best = null;
    int bestCost = Integer.MAX_VALUE;
    for (Iterator<PooledConnection> i = idle.descendingIterator(); i.hasNext(); ) {
      PooledConnection c = i.next();
      boolean isUsable = c.link.isReusable() && (!begins || c.canTellBeginning());
      if (!c.account.equals(account) || !isUsable) {
        continue;
      }
      int cost = c.setupCost(values);
      if (cost < bestCost) {
        best = c;
        bestCost = cost;
      }
      if (cost == 0) {
        break;
      }
    }
    if (best != null) {
      idle.remove(best);
    }
    return best;
  }
}

package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.chicorylane.internal.account.AccountAccess;
import org.chicorylane.internal.account.KeyFingerprint;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.passthrough.TransactionState;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.VirtualScheduler;
import org.chicorylane.internal.topology.BackendServer;
import org.chicorylane.internal.topology.Freshness;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/**
 * Guards against rules for the accounts' connections that answer fewer statements in time than
 * simpler rules would. Runs a group's statements in virtual time without a network.
 */
final class AccountConnectionsLoadTest {

  private static final int ACCOUNTS = 73;
  private static final int SEEDS = 10;
  private static final int SLOTS = 4;
  private static final int CONNECTIONS = 56;
  private static final double PER_SECOND = 125;
  private static final int BURST_FACTOR = 5;
  private static final Duration OPENING = Duration.ofMillis(12);
  private static final Duration LENGTH = Duration.ofSeconds(30);
  private static final Duration BURST_START = Duration.ofSeconds(15);
  private static final Duration BURST_LENGTH = Duration.ofSeconds(6);
  private static final Duration TRANSACTION_PAUSE = Duration.ofMillis(30);
  private static final int TRANSACTION_STATEMENTS = 3;
  private static final int MEAN_SERVICE_MILLIS = 12;
  private static final int TARGET_MILLIS = 40;
  private static final int BUDGET_MILLIS = 400;

  /** How connections are had; one for each rule that is compared. */
  private interface Rule {
    /** Takes a connection to one of the servers; null if the statement has to wait. */
    @Nullable PooledConnection take(QueuedWork item, @Nullable LogPosition floor);

    /** Makes a connection idle. */
    void giveBack(PooledConnection c);
  }

  /** The rules that are compared. */
  private enum Kind {
    LEAST_RECENTLY_USED,
    EQUAL_SHARES,
    BY_GAIN
  }

  @Test
  void testMoreStatementsAreInTimeThanByLeastRecentUse() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      Map<Kind, Run> runs = new EnumMap<>(Kind.class);
      for (Kind kind : Kind.values()) {
        Run run = new Run(kind, seed);
        run.run();
        runs.put(kind, run);
      }
      assertWithMessage("in time with seed %s: %s", seed, runs)
          .that(runs.get(Kind.BY_GAIN).inTime)
          .isGreaterThan(runs.get(Kind.LEAST_RECENTLY_USED).inTime);
    }
  }

  /** One run of a group under one rule. */
  private static final class Run implements ServerConnector {
    /** Chooses among servers of equal cost. */
    final Random choices = new Random(1);

    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final Random random;
    private final List<PoolServer> servers = new ArrayList<>();
    private final Map<String, Slots> slots = new HashMap<>();
    private final Map<QueuedWork, Item> items = new HashMap<>();
    private final WorkQueue queue = new WorkQueue();
    private final FloorTracker floors = new FloorTracker();
    private final Rule rule;
    private final double[] cumulated = new double[ACCOUNTS];
    private final int hotAccount;
    private long sequence;
    private boolean dispatching;
    int sent;
    int inTime;
    int opened;

    Run(Kind kind, long seed) {
      random = new Random(seed);
      hotAccount = random.nextInt(10);
      double sum = 0;
      for (int i = 0; i < ACCOUNTS; i++) {
        sum += 1.0 / (i + 1);
        cumulated[i] = sum;
      }
      for (String id : List.of("a", "b", "c")) {
        BackendServer backend =
            new BackendServer(id, "plans", id + ":1", "zone", SLOTS, false, id.equals("a"), 1);
        PoolServer s = new PoolServer(backend, server -> Long.MAX_VALUE);
        s.primary = id.equals("a");
        servers.add(s);
        slots.put(id, new Slots(scheduler));
      }
      rule =
          switch (kind) {
            case LEAST_RECENTLY_USED -> new Simple(this, Integer.MAX_VALUE);
            case EQUAL_SHARES -> new Simple(this, 1);
            case BY_GAIN -> new ByGain(this);
          };
    }

    void run() {
      long end = scheduler.nanoTime() + LENGTH.toNanos();
      long burst = scheduler.nanoTime() + BURST_START.toNanos();
      double hotShare = 1.0 / (hotAccount + 1) / cumulated[ACCOUNTS - 1];
      while (scheduler.nanoTime() < end) {
        boolean isBurst =
            scheduler.nanoTime() >= burst && scheduler.nanoTime() < burst + BURST_LENGTH.toNanos();
        double extra = isBurst ? hotShare * (BURST_FACTOR - 1) : 0;
        double gap = -Math.log(1 - random.nextDouble()) / (PER_SECOND * (1 + extra));
        scheduler.advance(Duration.ofNanos((long) (gap * 1e9)));
        boolean isExtra = random.nextDouble() * (1 + extra) < extra;
        arrive(isExtra ? hotAccount : account(random.nextDouble()));
      }
      scheduler.advance(Duration.ofSeconds(2));
    }

    @Override
    public String toString() {
      return inTime + " of " + sent + " with " + opened + " openings";
    }

    private int account(double share) {
      int i = 0;
      while (cumulated[i] < share * cumulated[ACCOUNTS - 1]) {
        i++;
      }
      return i;
    }

    /** Sends a read (7 of 10), a write or the first statement of a transaction. */
    private void arrive(int account) {
      int kind = random.nextInt(20);
      boolean isRead = kind < 14;
      int more = kind >= 17 ? TRANSACTION_STATEMENTS - 1 : 0;
      String name = "account-" + account;
      Work work =
          PoolFixture.work(
                  name + "/" + sequence,
                  isRead ? WorkKind.READ : WorkKind.WRITE,
                  isRead ? Freshness.BOUNDED_AGE : Freshness.OWN_WRITES)
              .access(new AccountAccess(name, KeyFingerprint.of(name)))
              .target(TARGET_MILLIS)
              .budget(BUDGET_MILLIS)
              .build();
      Item item = new Item(work, scheduler.nanoTime(), sequence++, more, random.nextLong());
      sent++;
      items.put(item.queued, item);
      queue.add(item.queued);
      dispatch();
    }

    void dispatch() {
      if (dispatching) {
        return;
      }
      dispatching = true;
      for (Iterator<QueuedWork> i = queue.iterator(); i.hasNext(); ) {
        QueuedWork q = i.next();
        if (scheduler.nanoTime() > q.deadlineNanos()) {
          i.remove();
          items.remove(q);
          continue;
        }
        PooledConnection c = rule.take(q, q.work.canRunOnReplica() ? LogPosition.ZERO : null);
        if (c != null) {
          i.remove();
          Item item = items.remove(q);
          if (item != null) {
            queue.onDispatched(q, scheduler.nanoTime());
            serve(item, c);
          }
        }
      }
      dispatching = false;
    }

    /** Runs a statement, and the rest of its transaction after a pause each. */
    private void serve(Item item, PooledConnection c) {
      c.server.inFlight++;
      if (item.more > 0) {
        c.transaction = new PoolTransaction(new PoolTransaction.Key(item, 1), false);
      }
      Slots s = slots.get(c.server.backend.id());
      s.occupy(
          item.service(),
          () -> {
            c.server.inFlight--;
            if (!item.counted) {
              item.counted = true;
              long took = scheduler.nanoTime() - item.queued.arrivedNanos;
              inTime += took <= TARGET_MILLIS * 1_000_000L ? 1 : 0;
            }
            if (item.more-- > 0) {
              scheduler.schedule(TRANSACTION_PAUSE, () -> serve(item, c));
            } else {
              c.transaction = null;
              rule.giveBack(c);
            }
            dispatch();
          });
    }

    @Override
    public void connect(Target target, Listener listener) {
      Slots s = slots.get(target.serverId());
      if (s.connections >= CONNECTIONS) {
        scheduler.schedule(
            Duration.ofMillis(2), () -> listener.onFailure(ConnectFailure.REJECTED, "TOOMANY"));
        return;
      }
      s.connections++;
      opened++;
      s.occupy(
          OPENING,
          () ->
              listener.onOpen(
                  new ServerLink() {
                    @Override
                    public void send(ServerCommand command, AnswerHandler handler) {
                      throw new AssertionError("the model runs no commands");
                    }

                    @Override
                    public void close() {
                      s.connections--;
                    }
                  },
                  LogPosition.ZERO));
    }
  }

  /** A statement or transaction on its way. */
  private static final class Item {
    final QueuedWork queued;
    private final Random services;
    int more;
    boolean counted;

    Item(Work work, long now, long sequence, int more, long seed) {
      this.services = new Random(seed);
      this.queued =
          new QueuedWork(
              this,
              work,
              new WorkHandler() {
                @Override
                public void onAnswer(Answer answer) {}

                @Override
                public void onNotHome() {}
              },
              now,
              sequence,
              null,
              MEAN_SERVICE_MILLIS * 1e6);
      this.more = more;
    }

    /** Returns the service time of the next statement, the same under each rule. */
    Duration service() {
      int millis = MEAN_SERVICE_MILLIS / 2 + services.nextInt(MEAN_SERVICE_MILLIS + 1);
      return Duration.ofMillis(millis);
    }
  }

  /** The slots of a server. */
  private static final class Slots {
    private final VirtualScheduler scheduler;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int busy;
    int connections;

    Slots(VirtualScheduler scheduler) {
      this.scheduler = scheduler;
    }

    void occupy(Duration time, Runnable done) {
      if (busy >= SLOTS) {
        waiting.add(() -> occupy(time, done));
        return;
      }
      busy++;
      scheduler.schedule(
          time,
          () -> {
            busy--;
            Runnable next = waiting.poll();
            if (next != null) {
              next.run();
            }
            done.run();
          });
    }
  }

  /** The rule of this package. */
  private static final class ByGain implements Rule, ServerConnections.Listener {
    private final Run run;
    private final ServerConnections connections;

    ByGain(Run run) {
      this.run = run;
      connections =
          new ServerConnections(
              run,
              run.scheduler,
              DecisionLog.none(),
              new PoolMetrics(new MetricRegistry()),
              run.servers,
              this);
      connections.setServerLimit(CONNECTIONS);
    }

    @Override
    public @Nullable PooledConnection take(QueuedWork item, @Nullable LogPosition floor) {
      ServerConnections.Request request = connections.request(item);
      PoolServer best =
          ServerChoice.choose(
              run.servers,
              item,
              floor,
              PrimaryHalt.NOTHING,
              run.floors,
              run.scheduler.nanoTime(),
              request,
              run.choices,
              0);
      PooledConnection c = best == null ? null : connections.takeIdle(best, item.work);
      if (best == null || c == null) {
        connections.openFor(request, best);
        return null;
      }
      connections.openAhead(request, best);
      return c;
    }

    @Override
    public void giveBack(PooledConnection c) {
      connections.giveBack(
          c, new Answer(List.of(), "-", null, "", TransactionState.IDLE, null, null));
    }

    @Override
    public void onOpened() {
      run.dispatch();
    }

    @Override
    public void onRefused(PoolServer server, String detail) {
      throw new AssertionError(detail);
    }

    @Override
    public void onOpenFailed(QueuedWork item, Duration retryAfter) {
      run.scheduler.schedule(retryAfter, run::dispatch);
    }

    @Override
    public void onClosed(PooledConnection connection) {}
  }

  /**
   * The first rule of this product: opens one connection for each server that lacks one, and closes
   * the idle one of another account that was used least recently; with a share, opens no more than
   * that for one account.
   */
  private static final class Simple implements Rule {
    private static final int LIMIT = CONNECTIONS - 5;
    private static final int OPENINGS = 3;

    private final Run run;
    private final int share;

    Simple(Run run, int share) {
      this.run = run;
      this.share = share;
    }

    @Override
    public @Nullable PooledConnection take(QueuedWork item, @Nullable LogPosition floor) {
      String account = item.work.account();
      PoolServer best =
          ServerChoice.choose(
              run.servers,
              item,
              floor,
              PrimaryHalt.NOTHING,
              run.floors,
              run.scheduler.nanoTime(),
              s -> {
                if (s.hasIdle(account)) {
                  return true;
                }
                open(s, account);
                return false;
              },
              run.choices,
              0);
      if (best == null) {
        return null;
      }
      PooledConnection c = best.takeIdle(account, Map.of(), false);
      if (c == null) {
        open(best, account);
      }
      return c;
    }

    private void open(PoolServer s, String account) {
      if (s.opening >= OPENINGS || s.countOf(account) >= share) {
        return;
      }
      if (s.connections.size() + s.opening >= LIMIT && !closeOne(s, account)) {
        return;
      }
      s.opening++;
      s.openingByAccount.merge(account, 1, Integer::sum);
      run.connect(
          s.target(account),
          new ServerConnector.Listener() {
            @Override
            public void onOpen(ServerLink link, @Nullable LogPosition position) {
              end();
              PooledConnection c = new PooledConnection(s, link, account);
              s.connections.add(c);
              s.idle.addLast(c);
              run.dispatch();
            }

            @Override
            public void onFailure(ServerConnector.ConnectFailure failure, String detail) {
              end();
            }

            @Override
            public void onClosed() {}

            private void end() {
              s.opening--;
              s.openingByAccount.merge(account, -1, Integer::sum);
            }
          });
    }

    private static boolean closeOne(PoolServer s, String account) {
      for (PooledConnection c : s.idle) {
        if (!c.account.equals(account)) {
          s.idle.remove(c);
          s.connections.remove(c);
          c.link.close();
          return true;
        }
      }
      return false;
    }

    @Override
    public void giveBack(PooledConnection c) {
      c.server.idle.addLast(c);
    }
  }
}

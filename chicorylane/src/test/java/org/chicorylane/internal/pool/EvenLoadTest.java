package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.VirtualScheduler;
import org.chicorylane.internal.topology.BackendServer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares the choice of a server with one that knows only the instance's own statements, where the
 * reports on the servers' load are up to two seconds old. The choosers are the code of the product;
 * servers and network are reduced to slots, service times and delays. One replica is slower than
 * the other, and the primary has no other work. Ten seeds each.
 */
final class EvenLoadTest {

  private static final int SEEDS = 10;
  private static final int SLOTS = 4;
  private static final long SERVICE_NANOS = Duration.ofMillis(15).toNanos();
  private static final Duration ONE_WAY = Duration.ofMillis(1);
  private static final Duration RUN = Duration.ofSeconds(30);
  private static final Duration SAMPLE = Duration.ofMillis(1);
  private static final double TARGET_MILLIS = 250;

  /**
   * The share of time in which a replica may be sent more than it has slots while the other one has
   * a slot free.
   */
  private static final double MAX_UNEVEN_SHARE = 0.01;

  /** The load of the two replicas over time, as a share of their slots. */
  @SuppressWarnings("ImmutableEnumChecker")
  private enum Load {
    STEADY(t -> 0.6),
    WAVE(t -> 0.55 * (1 + 0.55 * Math.sin(t * Math.PI / 5))),
    STEP(t -> t < 10 ? 0.35 : 0.8);

    private final DoubleUnaryOperator share;

    Load(DoubleUnaryOperator share) {
      this.share = share;
    }
  }

  /** A way to choose a server. */
  private enum Rule {
    PRODUCT {
      @Override
      @Nullable PoolServer choose(
          List<PoolServer> servers, QueuedWork item, long now, Random random, int waiting) {
        return ServerChoice.choose(
            servers,
            item,
            LogPosition.ZERO,
            PrimaryHalt.NOTHING,
            new FloorTracker(),
            now,
            s -> true,
            random,
            waiting);
      }
    },
    /** The least expected answer time by the chooser's own statements, the first of equals. */
    OWN_STATEMENTS {
      @Override
      @Nullable PoolServer choose(
          List<PoolServer> servers, QueuedWork item, long now, Random random, int waiting) {
        PoolServer best = null;
        for (PoolServer s : servers) {
          if (!s.primary
              && s.inFlight < ServerChoice.maxInFlight(s)
              && (best == null || answerTime(s) < answerTime(best))) {
            best = s;
          }
        }
        PoolServer primary = servers.get(0);
        return best == null && primary.inFlight < primary.slots() - 1 ? primary : best;
      }
    };

    abstract @Nullable PoolServer choose(
        List<PoolServer> servers, QueuedWork item, long now, Random random, int waiting);

    private static double answerTime(PoolServer s) {
      return s.slowness * Math.max(1.0, (s.inFlight + 1.0) / s.slots());
    }
  }

  /** What a run measures. */
  private static final class Result {
    private long samples;
    private long uneven;
    private final List<Long> answerNanos = new ArrayList<>();
    private final List<Long> waitNanos = new ArrayList<>();

    void add(Result other) {
      samples += other.samples;
      uneven += other.uneven;
      answerNanos.addAll(other.answerNanos);
      waitNanos.addAll(other.waitNanos);
    }

    double unevenShare() {
      return (double) uneven / samples;
    }

    double inTimeShare() {
      long inTime = answerNanos.stream().filter(n -> n <= TARGET_MILLIS * 1e6).count();
      return (double) inTime / answerNanos.size();
    }

    double waitP99Millis() {
      List<Long> sorted = new ArrayList<>(waitNanos);
      Collections.sort(sorted);
      return sorted.get(sorted.size() * 99 / 100).doubleValue() / 1e6;
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "uneven %.4f, p99 wait %.1f ms, in time %.4f, answers %d",
          unevenShare(),
          waitP99Millis(),
          inTimeShare(),
          answerNanos.size());
    }
  }

  private record Statement(long arrivedNanos, double factor) {}

  /** A server: slots, a queue and its speed. */
  private static final class Server {
    private final double slowness;
    private int busy;

    private final Deque<Runnable> queue = new ArrayDeque<>();

    Server(double slowness) {
      this.slowness = slowness;
    }

    int load() {
      return busy + queue.size();
    }

    boolean isOverItsSlots() {
      return load() > SLOTS;
    }

    boolean hasFreeSlot() {
      return load() < SLOTS;
    }
  }

  /** One run of several choosers before one group. */
  private static final class Run {
    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final Random random;
    private final Rule rule;
    private final Load load;
    private final int choosers;
    private final List<Server> servers;
    private final List<List<PoolServer>> views = new ArrayList<>();
    private final List<Deque<Statement>> queues = new ArrayList<>();
    private final Result result = new Result();
    private final long startNanos = scheduler.nanoTime();

    Run(Rule rule, Load load, int choosers, long seed) {
      this.rule = rule;
      this.load = load;
      this.choosers = choosers;
      this.random = new Random(seed);
      this.servers = List.of(new Server(1), new Server(1), new Server(1.5));
      for (int c = 0; c < choosers; c++) {
        List<PoolServer> view = new ArrayList<>();
        for (int s = 0; s < servers.size(); s++) {
          view.add(view(s));
        }
        views.add(view);
        queues.add(new ArrayDeque<>());
      }
    }

    private static PoolServer view(int index) {
      String id = "server-" + index;
      PoolServer view =
          new PoolServer(
              new BackendServer(id, "plans", id + ":1", "zone", SLOTS, false, index == 0, 1),
              server -> Long.MAX_VALUE);
      view.primary = index == 0;
      return view;
    }

    Result run() {
      arrive();
      for (int c = 0; c < choosers; c++) {
        for (int s = 0; s < servers.size(); s++) {
          report(c, s);
        }
      }
      scheduler.schedule(SAMPLE, this::sample);
      scheduler.advance(RUN);
      return result;
    }

    /** Sends a statement to a chooser, and schedules the next one. */
    private void arrive() {
      double seconds = (scheduler.nanoTime() - startNanos) / 1e9;
      double slots = SLOTS / servers.get(1).slowness + SLOTS / servers.get(2).slowness;
      double perNano = load.share.applyAsDouble(seconds) * slots / SERVICE_NANOS;
      long pause = (long) (-Math.log(1 - random.nextDouble()) / perNano);
      scheduler.schedule(
          Duration.ofNanos(pause),
          () -> {
            int chooser = random.nextInt(choosers);
            queues.get(chooser).add(new Statement(scheduler.nanoTime(), 0.5 + random.nextDouble()));
            dispatch(chooser);
            arrive();
          });
    }

    private void dispatch(int chooser) {
      List<PoolServer> view = views.get(chooser);
      Deque<Statement> queue = queues.get(chooser);
      while (!queue.isEmpty()) {
        long now = scheduler.nanoTime();
        QueuedWork item =
            new QueuedWork(
                this, PoolFixture.read("r"), new NoHandler(), now, 0, null, SERVICE_NANOS);
        PoolServer chosen = rule.choose(view, item, now, random, queue.size());
        if (chosen == null) {
          return;
        }
        Statement statement = queue.remove();
        chosen.inFlight++;
        Server server = servers.get(view.indexOf(chosen));
        double slotShare = Math.min(1, (double) SLOTS / chosen.inFlight);
        scheduler.schedule(
            ONE_WAY,
            () ->
                serve(server, statement, () -> answer(chooser, chosen, statement, now, slotShare)));
      }
    }

    private void serve(Server server, Statement statement, Runnable answer) {
      Runnable start =
          () -> {
            server.busy++;
            result.waitNanos.add(scheduler.nanoTime() - statement.arrivedNanos());
            long nanos = (long) (SERVICE_NANOS * statement.factor() * server.slowness);
            scheduler.schedule(
                Duration.ofNanos(nanos),
                () -> {
                  server.busy--;
                  scheduler.schedule(ONE_WAY, answer);
                  Runnable next = server.queue.poll();
                  if (next != null) {
                    next.run();
                  }
                });
          };
      if (server.busy < SLOTS) {
        start.run();
      } else {
        server.queue.add(start);
      }
    }

    private void answer(
        int chooser, PoolServer view, Statement statement, long sentNanos, double slotShare) {
      view.inFlight--;
      long now = scheduler.nanoTime();
      view.onServed((now - sentNanos) * slotShare, (double) SERVICE_NANOS);
      result.answerNanos.add(now - statement.arrivedNanos());
      dispatch(chooser);
    }

    /** Measures a server's load and reports it up to a second later, once a second. */
    private void report(int chooser, int index) {
      PoolServer view = views.get(chooser).get(index);
      int own = view.ownLoad();
      int busy = servers.get(index).load() + 1;
      long measured = scheduler.nanoTime();
      scheduler.schedule(
          Duration.ofMillis(random.nextInt(1_000)), () -> view.load.onReport(busy, own, measured));
      scheduler.schedule(Duration.ofSeconds(1), () -> report(chooser, index));
    }

    private void sample() {
      result.samples++;
      Server a = servers.get(1);
      Server b = servers.get(2);
      if ((a.isOverItsSlots() && b.hasFreeSlot()) || (b.isOverItsSlots() && a.hasFreeSlot())) {
        result.uneven++;
      }
      scheduler.schedule(SAMPLE, this::sample);
    }
  }

  private static final class NoHandler implements WorkHandler {
    @Override
    public void onAnswer(Answer answer) {}

    @Override
    public void onNotHome() {}
  }

  private static Result runAll(Rule rule, Load load, int choosers) {
    Result sum = new Result();
    for (int seed = 1; seed <= SEEDS; seed++) {
      sum.add(new Run(rule, load, choosers, seed).run());
    }
    return sum;
  }

  private static void checkUnevenShare(Load load, int choosers) {
    Result result = runAll(Rule.PRODUCT, load, choosers);
    assertWithMessage("%s", result).that(result.unevenShare()).isLessThan(MAX_UNEVEN_SHARE);
  }

  private static void checkBetterThanOwnStatements(Load load, int choosers) {
    Result before = runAll(Rule.OWN_STATEMENTS, load, choosers);
    Result after = runAll(Rule.PRODUCT, load, choosers);
    String measured = after + "; by own statements only: " + before;
    assertWithMessage(measured).that(after.unevenShare()).isLessThan(before.unevenShare());
    assertWithMessage(measured).that(after.waitP99Millis()).isAtMost(before.waitP99Millis());
    assertWithMessage(measured).that(after.inTimeShare()).isAtLeast(before.inTimeShare());
  }

  @ParameterizedTest
  @EnumSource
  void testOneHomeKeepsServersEven(Load load) {
    checkUnevenShare(load, 1);
  }

  @ParameterizedTest
  @EnumSource
  void testTwoHomesKeepServersEven(Load load) {
    checkUnevenShare(load, 2);
  }

  @ParameterizedTest
  @EnumSource
  void testManyInstancesKeepServersEven(Load load) {
    checkUnevenShare(load, 8);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 8})
  void testSteadyLoadIsMoreEvenThanByOwnStatements(int choosers) {
    checkBetterThanOwnStatements(Load.STEADY, choosers);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 8})
  void testWaveIsMoreEvenThanByOwnStatements(int choosers) {
    checkBetterThanOwnStatements(Load.WAVE, choosers);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 8})
  void testStepIsMoreEvenThanByOwnStatements(int choosers) {
    checkBetterThanOwnStatements(Load.STEP, choosers);
  }
}

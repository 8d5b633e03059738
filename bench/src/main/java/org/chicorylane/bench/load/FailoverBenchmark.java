package org.chicorylane.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.chicorylane.bench.demo.Auditor;
import org.chicorylane.bench.demo.CallerClient;
import org.chicorylane.bench.demo.Reply;
import org.chicorylane.bench.demo.SessionSchema;
import org.chicorylane.standin.database.StandInServer;

/**
 * Measures how long writes are unavailable after a fault of the primary, and audits the answers
 * against the stand-ins' logs.
 */
final class FailoverBenchmark {
  private static final int INSTANCES = 3;
  private static final Duration WARM_UP = Duration.ofSeconds(2);
  private static final int MAX_FAULT_JITTER_MILLIS = 500;
  private static final Duration WRITE_PAUSE = Duration.ofMillis(5);
  private static final Duration RETRY_DELAY = Duration.ofMillis(20);
  private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration HEAL_DELAY = Duration.ofSeconds(1);
  private static final long MAX_GAP_MICROS = Duration.ofMinutes(10).toNanos() / 1_000;

  private final BenchFleet fleet;
  private final AtomicBoolean stop = new AtomicBoolean();
  private final AtomicLong faultNanos = new AtomicLong();
  private final AtomicLong firstWriteNanos = new AtomicLong();
  private final Set<String> acknowledged = ConcurrentHashMap.newKeySet();
  private final Set<String> notRun = ConcurrentHashMap.newKeySet();
  private final Set<String> unresolved = ConcurrentHashMap.newKeySet();

  /**
   * The result of one run.
   *
   * @param seed the run's seed
   * @param gapMillis the time from the fault to the acknowledgement of the first write sent after
   *     it; -1 if none was acknowledged before the end of the run
   * @param acknowledged the number of acknowledged writes
   * @param unresolved the number of writes that may have run and were not acknowledged, including
   *     rejected ones
   * @param audit the violations found in the stand-ins' logs
   */
  record Run(
      int seed, double gapMillis, int acknowledged, int unresolved, Auditor.Findings audit) {}

  /** The results of all runs. */
  record Report(PrimaryFault fault, List<Run> runs, LatencySummary gaps, long withoutLandedWrite) {}

  private FailoverBenchmark(BenchFleet fleet) {
    this.fleet = fleet;
  }

  static Report run(BenchOptions options, LatencyPlot plot) throws InterruptedException {
    List<Run> runs = new ArrayList<>();
    Histogram gaps = new Histogram(MAX_GAP_MICROS, 3);
    for (int i = 0; i < options.runs(); i++) {
      try (BenchFleet fleet = BenchFleet.start(INSTANCES)) {
        runs.add(new FailoverBenchmark(fleet).runOnce(options, options.seed() + i));
      }
    }
    runs.stream()
        .filter(r -> r.gapMillis() >= 0)
        .forEach(r -> gaps.recordValue(Math.round(r.gapMillis() * 1_000)));
    plot.add("gap after " + options.fault(), gaps);
    long runsWithoutWrite = runs.stream().filter(r -> r.gapMillis() < 0).count();
    return new Report(options.fault(), runs, LatencySummary.of(gaps), runsWithoutWrite);
  }

  private Run runOnce(BenchOptions options, int seed) throws InterruptedException {
    List<Thread> writers = new ArrayList<>();
    for (int i = 0; i < options.sessions(); i++) {
      int session = i;
      Thread t = new Thread(() -> write(session), "bench-writer-" + i);
      t.setDaemon(true);
      t.start();
      writers.add(t);
    }
    sleep(WARM_UP.plusMillis(new Random(seed).nextInt(MAX_FAULT_JITTER_MILLIS)));
    StandInServer primary = fleet.group().newestPrimary();
    if (primary == null) {
      throw new IllegalStateException("the group has no primary");
    }
    faultNanos.set(System.nanoTime());
    options.fault().inject(primary);
    final long end = System.nanoTime() + Duration.ofSeconds(options.seconds()).toNanos();
    while (firstWriteNanos.get() == 0 && System.nanoTime() < end) {
      sleep(RETRY_DELAY);
    }
    sleep(HEAL_DELAY);
    options.fault().heal(primary);
    sleep(HEAL_DELAY);
    stop.set(true);
    for (Thread t : writers) {
      t.join(JOIN_TIMEOUT.toMillis());
    }
    long firstWrite = firstWriteNanos.get();
    return new Run(
        seed,
        firstWrite == 0 ? -1 : (firstWrite - faultNanos.get()) / 1e6,
        acknowledged.size(),
        unresolved.size(),
        Auditor.audit(fleet.group(), acknowledged, notRun));
  }

  private void write(int session) {
    CallerClient caller = fleet.caller();
    for (int i = 0; !stop.get(); i++) {
      writeUntilResolved(caller, "session-" + session + "-" + i, session);
      sleepUnchecked(WRITE_PAUSE);
    }
  }

  /** Retries one write with the same idempotency key until it is acknowledged or the run ends. */
  private void writeUntilResolved(CallerClient caller, String id, int plan) {
    boolean mayHaveRun = false;
    do {
      long sent = System.nanoTime();
      Reply reply =
          caller.write(BenchFleet.GROUP, "check-in", SessionSchema.CHECK_IN, List.of(id, plan), id);
      if (reply.outcome() == Reply.Outcome.COMPLETED) {
        onAcknowledged(sent, System.nanoTime());
        acknowledged.add(id);
        return;
      }
      mayHaveRun |= reply.outcome() != Reply.Outcome.NOT_RUN;
      sleepUnchecked(
          reply.retryAfter().compareTo(RETRY_DELAY) > 0 ? reply.retryAfter() : RETRY_DELAY);
    } while (!stop.get());
    (mayHaveRun ? unresolved : notRun).add(id);
  }

  private void onAcknowledged(long sent, long answered) {
    long fault = faultNanos.get();
    if (fault != 0 && sent > fault) {
      firstWriteNanos.compareAndSet(0, answered);
    }
  }

  private static void sleep(Duration duration) throws InterruptedException {
    TimeUnit.NANOSECONDS.sleep(duration.toNanos());
  }

  private static void sleepUnchecked(Duration duration) {
    try {
      sleep(duration);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

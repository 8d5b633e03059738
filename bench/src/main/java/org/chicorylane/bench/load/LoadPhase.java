package org.chicorylane.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Collects what callers feel over several slices of load.
 *
 * <pre>{@code
 * LoadPhase phase = new LoadPhase();
 * phase.runSlice(callers, Duration.ofSeconds(1), Duration.ZERO);
 * LatencySummary.of(phase.latency());
 * }</pre>
 *
 * <p>Slices run one after the other. Each caller has a thread and sends its next request after the
 * answer to the last one and a pause.
 */
final class LoadPhase {
  private static final long HIGHEST_MICROS = Duration.ofSeconds(60).toNanos() / 1_000;
  private static final int DIGITS = 3;
  private static final Duration JOIN_LIMIT = Duration.ofSeconds(20);

  private final Histogram latency = new ConcurrentHistogram(HIGHEST_MICROS, DIGITS);
  private final LongAdder failures = new LongAdder();
  private long cpuNanos;
  private long elapsedNanos;

  /** A caller's request; returns whether it was completed. */
  @FunctionalInterface
  interface Request {
    boolean send();
  }

  /** Runs every caller for {@code length}. */
  void runSlice(List<Request> callers, Duration length, Duration pause)
      throws InterruptedException {
    final long cpu = ProcessUsage.cpuNanos();
    final long start = System.nanoTime();
    long end = start + length.toNanos();
    List<Thread> threads = new ArrayList<>();
    for (Request caller : callers) {
      Thread t = new Thread(() -> runCaller(caller, end, pause), "bench-caller");
      t.setDaemon(true);
      t.start();
      threads.add(t);
    }
    for (Thread t : threads) {
      t.join(JOIN_LIMIT.toMillis());
    }
    elapsedNanos += System.nanoTime() - start;
    cpuNanos += ProcessUsage.cpuNanos() - cpu;
  }

  /** Returns the latencies of completed requests, in microseconds. */
  Histogram latency() {
    return latency;
  }

  /** Returns how many requests were not completed. */
  long failures() {
    return failures.sum();
  }

  /** Returns completed requests a second. */
  double throughput() {
    return latency.getTotalCount() * 1e9 / elapsedNanos;
  }

  /** Returns how many processors the whole process used on average. */
  double processorsUsed() {
    return (double) cpuNanos / elapsedNanos;
  }

  /** Returns the processor time of the whole process for each completed request. */
  double cpuMicrosPerRequest() {
    return cpuNanos / 1e3 / Math.max(1, latency.getTotalCount());
  }

  private void runCaller(Request caller, long end, Duration pause) {
    while (System.nanoTime() < end) {
      long start = System.nanoTime();
      if (caller.send()) {
        latency.recordValue(Math.min(HIGHEST_MICROS, (System.nanoTime() - start) / 1_000));
      } else {
        failures.increment();
      }
      try {
        TimeUnit.NANOSECONDS.sleep(pause.toNanos());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}

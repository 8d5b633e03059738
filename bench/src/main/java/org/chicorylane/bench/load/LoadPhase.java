package org.chicorylane.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Closed-loop load generator that collects latencies and failures over several slices of load.
 *
 * <pre>{@code
 * LoadPhase phase = new LoadPhase();
 * phase.runSlice(callers, Duration.ofSeconds(1), Duration.ZERO);
 * LatencySummary.of(phase.latency());
 * }</pre>
 *
 * <p>Slices run one after the other. Each caller has its own thread and, after each answer, pauses
 * before it sends the next request.
 */
final class LoadPhase {
  private static final long MAX_LATENCY_MICROS = Duration.ofSeconds(60).toNanos() / 1_000;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(20);

  private final Histogram latency = new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  private final LongAdder failures = new LongAdder();
  private long cpuNanos;
  private long elapsedNanos;

  /** Sends a caller's request and returns whether it was completed. */
  @FunctionalInterface
  interface Request {
    boolean send();
  }

  /** Runs all callers concurrently for {@code length}, each with {@code pause} between requests. */
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
      t.join(JOIN_TIMEOUT.toMillis());
    }
    elapsedNanos += System.nanoTime() - start;
    cpuNanos += ProcessUsage.cpuNanos() - cpu;
  }

  /** Returns the latencies of completed requests, in microseconds. */
  Histogram latency() {
    return latency;
  }

  /** Returns the number of requests that were not completed. */
  long failures() {
    return failures.sum();
  }

  /** Returns the number of completed requests per second. */
  double throughput() {
    return latency.getTotalCount() * 1e9 / elapsedNanos;
  }

  /** Returns the average number of processors that the whole process used. */
  double processorsUsed() {
    return (double) cpuNanos / elapsedNanos;
  }

  /** Returns the processor time of the whole process per completed request, in microseconds. */
  double cpuMicrosPerRequest() {
    return cpuNanos / 1e3 / Math.max(1, latency.getTotalCount());
  }

  private void runCaller(Request caller, long end, Duration pause) {
    while (System.nanoTime() < end) {
      long start = System.nanoTime();
      if (caller.send()) {
        latency.recordValue(Math.min(MAX_LATENCY_MICROS, (System.nanoTime() - start) / 1_000));
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

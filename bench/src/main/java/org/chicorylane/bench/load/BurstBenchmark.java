package org.chicorylane.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.chicorylane.bench.demo.CallerClient;
import org.chicorylane.bench.demo.Reply;
import org.chicorylane.bench.demo.SessionSchema;
import org.chicorylane.standin.database.StandInServer;

/**
 * Measures the latency of check-ins and uploads while browsing requests arrive at ten times the
 * rate that the group can serve, alternating with slices without browsing.
 */
final class BurstBenchmark {
  private static final int INSTANCES = 3;
  private static final Duration SERVICE_TIME = Duration.ofMillis(20);
  private static final int SLOTS = 9;
  private static final int OVERLOAD_FACTOR = 10;
  private static final Duration SLICE = Duration.ofSeconds(2);
  private static final Duration WARM_UP = Duration.ofSeconds(2);
  private static final Duration PAUSE = Duration.ofMillis(500);

  private final BenchOptions options;
  private final LatencyPlot plot;

  /**
   * The latencies and failures of one request class, without and with the burst.
   *
   * <p>The processors used are those of the whole process, including browsers and stand-ins.
   */
  record LatencyComparison(
      LatencySummary unloaded,
      long unloadedFailures,
      LatencySummary loaded,
      long loadedFailures,
      double p50Ratio,
      double p99Ratio,
      double unloadedProcessors,
      double loadedProcessors) {
    static LatencyComparison of(LoadPhase unloaded, LoadPhase loaded) {
      LatencySummary without = LatencySummary.of(unloaded.latency());
      LatencySummary with = LatencySummary.of(loaded.latency());
      return new LatencyComparison(
          without,
          unloaded.failures(),
          with,
          loaded.failures(),
          with.p50Millis() / without.p50Millis(),
          with.p99Millis() / without.p99Millis(),
          unloaded.processorsUsed(),
          loaded.processorsUsed());
    }
  }

  /** The result of the benchmark. */
  record Report(
      long serviceTimeMillis,
      double capacityPerSecond,
      double offeredPerSecond,
      LatencyComparison checkIns,
      LatencyComparison uploads,
      BrowsingBurst.Counts browsing) {}

  BurstBenchmark(BenchOptions options, LatencyPlot plot) {
    this.options = options;
    this.plot = plot;
  }

  Report run() throws InterruptedException {
    try (BenchFleet fleet = BenchFleet.start(INSTANCES)) {
      for (StandInServer server : fleet.group().servers()) {
        server.serviceTime(SERVICE_TIME);
      }
      double capacity = SLOTS * 1e9 / SERVICE_TIME.toNanos();
      BrowsingBurst burst = new BrowsingBurst(fleet.entries(), capacity * OVERLOAD_FACTOR);
      List<LoadPhase.Request> checkIns = writers(fleet, "check-in");
      List<LoadPhase.Request> uploads = writers(fleet, "upload");
      new LoadPhase().runSlice(checkIns, WARM_UP, PAUSE);
      Phases unloaded = new Phases();
      Phases loaded = new Phases();
      long slices =
          Math.max(1, Duration.ofSeconds(options.seconds()).dividedBy(SLICE.multipliedBy(2)));
      for (long i = 0; i < slices; i++) {
        unloaded.runSlice(checkIns, uploads);
        Thread browsers = new Thread(() -> burst.run(SLICE), "bench-browsers");
        browsers.start();
        loaded.runSlice(checkIns, uploads);
        browsers.join();
      }
      plot.add("check-in, unloaded", unloaded.checkIns.latency());
      plot.add("check-in, burst", loaded.checkIns.latency());
      plot.add("upload, unloaded", unloaded.uploads.latency());
      plot.add("upload, burst", loaded.uploads.latency());
      return new Report(
          SERVICE_TIME.toMillis(),
          capacity,
          capacity * OVERLOAD_FACTOR,
          LatencyComparison.of(unloaded.checkIns, loaded.checkIns),
          LatencyComparison.of(unloaded.uploads, loaded.uploads),
          burst.counts());
    }
  }

  /** Runs the load of both classes of writes at the same time. */
  private static final class Phases {
    private final LoadPhase checkIns = new LoadPhase();
    private final LoadPhase uploads = new LoadPhase();

    void runSlice(List<LoadPhase.Request> checkInCallers, List<LoadPhase.Request> uploadCallers)
        throws InterruptedException {
      Thread other = new Thread(() -> runUploads(uploadCallers), "bench-uploads");
      other.start();
      checkIns.runSlice(checkInCallers, SLICE, PAUSE);
      other.join();
    }

    private void runUploads(List<LoadPhase.Request> callers) {
      try {
        uploads.runSlice(callers, SLICE, PAUSE);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private List<LoadPhase.Request> writers(BenchFleet fleet, String requestClass) {
    List<LoadPhase.Request> callers = new ArrayList<>();
    for (int i = 0; i < Math.max(1, options.sessions() / 2); i++) {
      CallerClient caller = fleet.caller();
      int plan = i;
      callers.add(
          () -> {
            String id = UUID.randomUUID().toString();
            List<Object> parameters = List.of(id, plan);
            Reply reply =
                caller.write(
                    BenchFleet.GROUP, requestClass, SessionSchema.CHECK_IN, parameters, id);
            return reply.outcome() == Reply.Outcome.COMPLETED;
          });
    }
    return callers;
  }
}

package org.chicorylane.bench;

import com.google.gson.GsonBuilder;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.chicorylane.bench.AdmissionSimulation.Burst;
import org.chicorylane.bench.AdmissionSimulation.ClassResult;
import org.chicorylane.bench.AdmissionSimulation.Result;
import org.chicorylane.internal.admission.ConcurrencyPolicy;

/**
 * Measures admission under a browsing burst in virtual time: what check-ins and uploads feel, and
 * how soon those that cannot be served are told.
 *
 * <pre>{@code
 * java -cp chicorylane.jar org.chicorylane.bench.AdmissionExperiment 1 2 3
 * }</pre>
 *
 * <p>Arguments are seeds. Prints a table and the same as JSON.
 */
public final class AdmissionExperiment {
  private static final Burst NONE = new Burst(0, false);
  private static final Burst TENFOLD = new Burst(10, false);
  private static final Burst TENFOLD_ON_DEGRADED_SERVER = new Burst(10, true);

  private record Run(String scenario, String policy, long seed, Result result) {}

  private AdmissionExperiment() {}

  /**
   * Runs the experiment.
   *
   * @param args seeds; 1 to 5 if none is given
   */
  public static void main(String[] args) {
    List<Long> seeds = new ArrayList<>();
    for (String arg : args) {
      seeds.add(Long.parseLong(arg));
    }
    if (seeds.isEmpty()) {
      seeds.addAll(List.of(1L, 2L, 3L, 4L, 5L));
    }
    List<Run> runs = new ArrayList<>();
    for (long seed : seeds) {
      runSeed(seed, runs);
    }
    PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
    runs.forEach(r -> print(out, r));
    runs.forEach(r -> printRatios(out, r, runs));
    out.println(new GsonBuilder().create().toJson(runs));
  }

  private static void runSeed(long seed, List<Run> runs) {
    run("unloaded", "fifo", seed, NONE, runs);
    run("unloaded", "fair+reserved", seed, NONE, runs);
    for (String policy : List.of("fifo", "fair", "fair+reserved")) {
      run("burst x10", policy, seed, TENFOLD, runs);
    }
    for (String policy : List.of("fifo", "fair+reserved", "aimd")) {
      run("burst x10, degraded", policy, seed, TENFOLD_ON_DEGRADED_SERVER, runs);
    }
  }

  private static void run(String scenario, String policy, long seed, Burst burst, List<Run> runs) {
    SimulatedQueue queue =
        switch (policy) {
          case "fifo" -> new SimulatedQueue.Fifo();
          case "fair" -> SimulatedQueue.core(ConcurrencyPolicy.FIXED, false, seed);
          case "aimd" -> SimulatedQueue.core(ConcurrencyPolicy.AIMD, true, seed);
          default -> SimulatedQueue.core(ConcurrencyPolicy.FIXED, true, seed);
        };
    runs.add(new Run(scenario, policy, seed, new AdmissionSimulation(queue, burst, seed).run()));
  }

  private static void print(PrintStream out, Run run) {
    for (ClassResult c : run.result().classes()) {
      out.printf(
          Locale.ROOT,
          "%-20s %-14s seed %d  %-9s offered %7d  in time %7d  p50 %7.1f ms  p99 %7.1f ms"
              + "  refused %7d after p50 %6.1f ms p99 %6.1f ms%n",
          run.scenario(),
          run.policy(),
          run.seed(),
          c.name(),
          c.offered(),
          c.inTime(),
          millis(c.latencyMedian()),
          millis(c.latency99()),
          c.refused(),
          millis(c.refusalMedian()),
          millis(c.refusal99()));
    }
  }

  private static void printRatios(PrintStream out, Run run, List<Run> runs) {
    Run unloaded =
        runs.stream()
            .filter(r -> r.seed() == run.seed() && r.scenario().equals("unloaded"))
            .filter(r -> r.policy().equals(run.policy().equals("fifo") ? "fifo" : "fair+reserved"))
            .findFirst()
            .orElseThrow();
    if (run.scenario().equals("unloaded")) {
      return;
    }
    for (int i = 0; i < run.result().classes().size(); i++) {
      ClassResult c = run.result().classes().get(i);
      double ratio = millis(c.latency99()) / millis(unloaded.result().classes().get(i).latency99());
      out.printf(
          Locale.ROOT,
          "%-20s %-14s seed %d  %-9s p99 / unloaded p99 = %.2f%n",
          run.scenario(),
          run.policy(),
          run.seed(),
          c.name(),
          ratio);
    }
  }

  private static double millis(Duration d) {
    return d.toNanos() / 1e6;
  }
}

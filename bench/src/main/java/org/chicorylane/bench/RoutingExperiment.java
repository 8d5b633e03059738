package org.chicorylane.bench;

import com.google.gson.GsonBuilder;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.chicorylane.bench.RoutingSimulation.Result;
import org.chicorylane.bench.RoutingSimulation.Scenario;
import org.chicorylane.internal.routing.SelectionPolicy;

/**
 * Measures in virtual time what share of reads replicas serve and asserts that none is stale.
 *
 * <pre>{@code
 * java -cp chicorylane.jar org.chicorylane.bench.RoutingExperiment 1 2 3
 * }</pre>
 *
 * <p>Arguments are seeds. Prints a table and the same as JSON; ends with an exception if the router
 * let a stale read through.
 */
public final class RoutingExperiment {
  private static final Duration NORMAL_LAG = Duration.ofMillis(50);
  private static final Duration LONG_LAG = Duration.ofSeconds(60);
  private static final Duration LENGTH = Duration.ofSeconds(90);
  private static final String BASELINE = "any replica, wait";
  private static final List<Scenario> SCENARIOS =
      List.of(
          new Scenario("lag 50 ms", NORMAL_LAG, NORMAL_LAG, 300, false, LENGTH),
          new Scenario("lag 50 ms, busy", NORMAL_LAG, NORMAL_LAG, 600, false, LENGTH),
          new Scenario("one 60 s behind", NORMAL_LAG, LONG_LAG, 300, false, LENGTH),
          new Scenario("restarts", NORMAL_LAG, NORMAL_LAG, 300, true, LENGTH));

  private record Run(String scenario, String strategy, long seed, double share, Result result) {}

  private RoutingExperiment() {}

  /**
   * Runs the experiment.
   *
   * @param args seeds; 1 to 3 if none is given
   */
  public static void main(String[] args) {
    List<Long> seeds = new ArrayList<>();
    for (String arg : args) {
      seeds.add(Long.parseLong(arg));
    }
    if (seeds.isEmpty()) {
      seeds.addAll(List.of(1L, 2L, 3L));
    }
    PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
    List<Run> runs = new ArrayList<>();
    for (Scenario scenario : SCENARIOS) {
      for (long seed : seeds) {
        for (SelectionPolicy policy : SelectionPolicy.values()) {
          ReadStrategy strategy = new ReadStrategy.Routed(policy, seed);
          runs.add(run(scenario, policy.name(), strategy, seed));
        }
        runs.add(run(scenario, BASELINE, new ReadStrategy.AnyReplica(seed), seed));
      }
    }
    runs.forEach(r -> print(out, r));
    out.println(new GsonBuilder().create().toJson(runs));
  }

  private static Run run(Scenario scenario, String name, ReadStrategy strategy, long seed) {
    Result result = new RoutingSimulation(strategy, scenario, seed).run();
    if (!name.equals(BASELINE) && result.staleForSession() + result.tooOld() > 0) {
      throw new IllegalStateException(scenario + ", " + name + ", seed " + seed + ": " + result);
    }
    return new Run(scenario.name(), name, seed, result.replicaShare(), result);
  }

  private static void print(PrintStream out, Run run) {
    Result r = run.result();
    out.printf(
        Locale.ROOT,
        "%-16s %-20s seed %d  reads %6d  eligible %6d  on replicas %6.2f%%  stale %d  too old %d"
            + "  refused %d  p50 %6.1f ms  p99 %6.1f ms%n",
        run.scenario(),
        run.strategy(),
        run.seed(),
        r.reads(),
        r.eligible(),
        100 * run.share(),
        r.staleForSession(),
        r.tooOld(),
        r.refused(),
        r.latencyMedian().toNanos() / 1e6,
        r.latency99().toNanos() / 1e6);
  }
}

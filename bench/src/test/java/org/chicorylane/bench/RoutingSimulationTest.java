package org.chicorylane.bench;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import org.chicorylane.bench.RoutingSimulation.Result;
import org.chicorylane.bench.RoutingSimulation.Scenario;
import org.chicorylane.internal.routing.SelectionPolicy;
import org.junit.jupiter.api.Test;

final class RoutingSimulationTest {
  private static final Duration LENGTH = Duration.ofSeconds(20);

  @Test
  void testNoReadIsStaleThroughLostAnswersRestartsAndChangeOfHome() {
    for (long seed = 11; seed <= 20; seed++) {
      Result result = run(Duration.ofMillis(50), true, seed);
      assertWithMessage("seed %s: %s", seed, result).that(result.staleForSession()).isEqualTo(0);
      assertWithMessage("seed %s: %s", seed, result).that(result.tooOld()).isEqualTo(0);
    }
  }

  @Test
  void testReplicasServeMostReadsWithOneFarBehind() {
    Result result = run(Duration.ofSeconds(60), false, 21);

    assertWithMessage("%s", result).that(result.staleForSession() + result.tooOld()).isEqualTo(0);
    assertWithMessage("%s", result).that(result.replicaShare()).isAtLeast(0.9);
  }

  private static Result run(Duration lagC, boolean faults, long seed) {
    Scenario scenario = new Scenario("test", Duration.ofMillis(50), lagC, 300, faults, LENGTH);
    ReadStrategy strategy = new ReadStrategy.Routed(SelectionPolicy.LEAST_EXPECTED_WAIT, seed);
    return new RoutingSimulation(strategy, scenario, seed).run();
  }
}

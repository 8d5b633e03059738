package org.chicorylane.internal.failover;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Random;
import java.util.Set;
import org.chicorylane.internal.failover.FailoverModel.Mutation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Runs homes under random faults in simulated time. Guards against the loss of acknowledged writes
 * and against groups that do not recover, caused by combinations of crashes, freezes, pauses,
 * partitions, message loss and replication lag.
 *
 * <p>{@code -Dseed=S} replays a seed, {@code -Dseeds=N} runs N seeds from there.
 */
final class FailoverRandomisedTest {
  private static final long FIRST_SEED = Long.getLong("seed", 1);
  private static final int SEEDS =
      Integer.getInteger("seeds", System.getProperty("seed") == null ? 120 : 1);
  private static final int MUTATION_SEEDS = 150;
  private static final long FAULTS_MILLIS = 20_000;
  private static final long RECOVERY_MILLIS = 30_000;

  @Test
  void testKeepsAcknowledgedWritesAndRecoversUnderRandomFaults() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      FailoverModel model = run(seed, Mutation.NONE);
      if (!model.violations.isEmpty()) {
        assertWithMessage("seed %s: %s", seed, model.describe()).fail();
      }
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = Mutation.class,
      names = {"PRIMARY_ALONE_CONFIRMS", "LOCK_IS_SHARED_AND_SEAL_KEEPS_RECEIVING"})
  void testInvariantChecksDetectBrokenRule(Mutation mutation) {
    boolean isDetected = false;
    for (long seed = 1; seed <= MUTATION_SEEDS && !isDetected; seed++) {
      isDetected =
          run(seed, mutation).violations.stream().anyMatch(v -> v.contains("acknowledged"));
    }
    assertWithMessage("%s loses an acknowledged write in %s seeds", mutation, MUTATION_SEEDS)
        .that(isDetected)
        .isTrue();
  }

  @Test
  void testBrokenLinkOfOneInstanceDoesNotReplacePrimary() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + 20; seed++) {
      FailoverModel model = new FailoverModel(seed, 3, 3, Mutation.NONE);
      model.prefer("i0");
      model.runFor(1_000);
      model.cuts.add(Set.of("i0", "s0"));
      model.runFor(20_000);
      assertWithMessage("seed %s: %s", seed, model.describe())
          .that(model.stored.record().term())
          .isEqualTo(1);
      assertWithMessage("seed %s: writes go on through another instance", seed)
          .that(model.now() - model.lastAcknowledged)
          .isLessThan(5_000_000);
    }
  }

  private static FailoverModel run(long seed, Mutation mutation) {
    Random sizes = new Random(seed * 31 + 7);
    int servers = sizes.nextInt(3) == 0 ? 5 : 3;
    FailoverModel model = new FailoverModel(seed, servers, 2 + sizes.nextInt(3), mutation);
    model.prefer("i0");
    FaultPlan plan = new FaultPlan(model);
    model.runFor(500);
    plan.runFor(FAULTS_MILLIS);
    plan.heal();
    long healed = model.now();
    while (model.lastAcknowledged <= healed + 200 * FailoverModel.MILLI
        && model.now() < healed + RECOVERY_MILLIS * FailoverModel.MILLI) {
      model.runFor(500);
      plan.rebuild();
    }
    model.check(model.lastAcknowledged > healed, "no write landed after the faults ended");
    model.checkAcknowledged("at the end");
    return model;
  }
}

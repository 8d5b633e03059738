package org.chicorylane.internal.failover;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.chicorylane.internal.failover.FailoverModel.Mutation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Measures, in simulated time, how long writes fail after the primary is lost, and prints when each
 * step of the failover happened. Guards against a failover that takes longer than its limits, and
 * against a confirmation that takes much longer than a round trip.
 */
final class FailoverGapTest {
  private static final int SEEDS = Integer.getInteger("seeds", 20);

  /** How the primary is lost, and the limits for the time until a write succeeds again. */
  enum Loss {
    KILLED(m -> m.servers.get("s0").kill(), 2_000, 3_000),
    FROZEN(m -> m.servers.get("s0").frozen = true, 2_000, 3_000),
    PARTITIONED(m -> isolate(m, Set.of("s0")), 2_000, 3_000),
    ZONE_WITH_HOME_PARTITIONED(Loss::isolateZoneOfHome, 5_000, 6_000);

    @SuppressWarnings("ImmutableEnumChecker")
    private final Consumer<FailoverModel> cause;

    private final long medianMillis;
    private final long maximumMillis;

    Loss(Consumer<FailoverModel> cause, long medianMillis, long maximumMillis) {
      this.cause = cause;
      this.medianMillis = medianMillis;
      this.maximumMillis = maximumMillis;
    }

    private static void isolateZoneOfHome(FailoverModel model) {
      isolate(model, Set.of("s0", "i0"));
      model.after(1_000 * FailoverModel.MILLI, () -> model.prefer("i1"));
    }

    private static void isolate(FailoverModel model, Set<String> inside) {
      List<String> outside = new ArrayList<>(model.servers.keySet());
      model.instances.forEach(i -> outside.add(i.name));
      outside.removeAll(inside);
      inside.forEach(in -> outside.forEach(out -> model.cuts.add(Set.of(in, out))));
    }
  }

  private static final List<Class<?>> STEPS =
      List.of(
          HomeAction.AskEvidence.class,
          HomeAction.Seal.class,
          HomeAction.SwapRecord.class,
          HomeAction.Promote.class,
          HomeAction.Follow.class,
          HomeAction.OpenWrites.class);

  @ParameterizedTest
  @EnumSource
  void testWritesResumeWithinBound(Loss loss) {
    List<Long> gaps = new ArrayList<>();
    List<List<Long>> steps = new ArrayList<>();
    STEPS.forEach(step -> steps.add(new ArrayList<>()));
    for (long seed = 1; seed <= SEEDS; seed++) {
      FailoverModel model = new FailoverModel(seed, 3, 3, Mutation.NONE);
      model.prefer("i0");
      model.runFor(1_000 + 37 * seed);
      model.firstActions.clear();
      final long lostAt = model.now();
      loss.cause.accept(model);
      model.runFor(5_000);
      gaps.add((firstAcknowledgedInNewTerm(model) - lostAt) / FailoverModel.MILLI);
      for (int i = 0; i < STEPS.size(); i++) {
        long at = model.firstActions.getOrDefault(STEPS.get(i), model.now());
        steps.get(i).add((at - lostAt) / FailoverModel.MILLI);
      }
      assertWithMessage(model.describe()).that(model.violations).isEmpty();
    }
    StringBuilder line = new StringBuilder(loss + " ms after the loss, median:");
    for (int i = 0; i < STEPS.size(); i++) {
      line.append(' ')
          .append(STEPS.get(i).getSimpleName())
          .append(' ')
          .append(median(steps.get(i)));
    }
    long maximum = Collections.max(gaps);
    System.out.println(line + " | write lands " + median(gaps) + ", at most " + maximum);
    assertWithMessage("median of %s", gaps).that(median(gaps)).isAtMost(loss.medianMillis);
    assertWithMessage("maximum of %s", gaps).that(maximum).isAtMost(loss.maximumMillis);
  }

  @Test
  void testConfirmationTakesAboutOneRoundTrip() {
    FailoverModel model = new FailoverModel(1, 3, 3, Mutation.NONE);
    model.prefer("i0");
    model.runFor(60_000);
    List<Long> sorted = model.confirmationMicros.stream().sorted().toList();
    long late = sorted.get(sorted.size() * 99 / 100);
    System.out.println(
        "Confirmation after the commit, microseconds: median "
            + median(sorted)
            + ", 99th percentile "
            + late);
    assertThat(late).isLessThan(6 * FailoverModel.MILLI);
  }

  private static long firstAcknowledgedInNewTerm(FailoverModel model) {
    Long opened = model.firstActions.get(HomeAction.OpenWrites.class);
    assertWithMessage(model.describe()).that(opened).isNotNull();
    return model.acknowledged.values().stream()
        .filter(at -> at >= opened)
        .mapToLong(Long::longValue)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private static long median(List<Long> values) {
    return values.stream().sorted().toList().get(values.size() / 2);
  }
}

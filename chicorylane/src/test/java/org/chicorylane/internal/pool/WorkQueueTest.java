package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.topology.Freshness;
import org.junit.jupiter.api.Test;

/** A backlog at a home that has just started: its order and the expected wait behind it. */
final class WorkQueueTest {

  private static final long MILLI = 1_000_000;

  private final WorkQueue queue = new WorkQueue();
  private long sequence;

  private Waiting waiting(WorkKind kind, int priority, int targetMillis, long arrivedNanos) {
    Work work =
        new Work(
            kind,
            "r" + sequence,
            "item",
            null,
            Freshness.BOUNDED_AGE,
            1_500,
            null,
            Map.of(),
            0,
            false,
            false,
            priority,
            targetMillis,
            2_000);
    WorkHandler ignored =
        new WorkHandler() {
          @Override
          public void onAnswer(Answer answer) {}

          @Override
          public void onNotHome() {}
        };
    return new Waiting(work, ignored, arrivedNanos, sequence++, null);
  }

  private List<Waiting> all() {
    List<Waiting> all = new ArrayList<>();
    queue.iterator().forEachRemaining(all::add);
    return all;
  }

  @Test
  void testExpectedWaitCountsWhatGoesFirst() {
    Random random = new Random(7);
    for (int step = 0; step < 500; step++) {
      WorkKind kind = random.nextBoolean() ? WorkKind.READ : WorkKind.WRITE;
      Waiting w = waiting(kind, random.nextInt(3), 10 + random.nextInt(300), step * MILLI);
      w.late = random.nextInt(4) == 0;
      long ahead =
          all().stream()
              .filter(o -> Waiting.ORDER.compare(o, w) < 0)
              .filter(o -> o.work.replicaMayServe() == w.work.replicaMayServe())
              .count();
      if (!w.late) {
        assertWithMessage("step %s", step)
            .that(queue.expectedWaitMillis(w, 1.0 / MILLI, false))
            .isEqualTo(ahead);
      }
      queue.add(w);
      if (random.nextInt(3) == 0) {
        queue.take(o -> o.sequence % 5 == 0);
      }
      if (random.nextInt(3) == 0) {
        queue.takeLate(step * MILLI).forEach(queue::add);
      }
    }
    assertThat(all()).isInStrictOrder(Waiting.ORDER);
  }

  @Test
  void testLateOnesAreLookedForSeldom() {
    for (int i = 0; i < 10; i++) {
      queue.add(waiting(WorkKind.READ, 1, 100, i * MILLI));
    }
    assertThat(queue.takeLate(75 * MILLI)).hasSize(5);
    assertThat(queue.takeLate(79 * MILLI)).isEmpty();
    assertThat(queue.takeLate(80 * MILLI)).hasSize(5);
  }
}

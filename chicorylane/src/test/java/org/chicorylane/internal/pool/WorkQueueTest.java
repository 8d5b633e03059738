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

/**
 * Guards against a wrong order of the backlog and a wrong estimate of the wait behind it, by which
 * statements are refused. Either could come from a count by rank that does not follow additions and
 * removals. The queue is in the state of a home that has just started and has dispatched nothing.
 */
final class WorkQueueTest {

  private static final long MILLI = 1_000_000;

  private final WorkQueue queue = new WorkQueue();
  private long sequence;

  private QueuedWork queuedWork(WorkKind kind, int priority, int targetMillis, long arrivedNanos) {
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
    return new QueuedWork(work, ignored, arrivedNanos, sequence++, null);
  }

  private List<QueuedWork> all() {
    List<QueuedWork> all = new ArrayList<>();
    queue.iterator().forEachRemaining(all::add);
    return all;
  }

  @Test
  void testExpectedWaitCountsOnlyStatementsServedEarlier() {
    Random random = new Random(7);
    for (int step = 0; step < 500; step++) {
      WorkKind kind = random.nextBoolean() ? WorkKind.READ : WorkKind.WRITE;
      QueuedWork item = queuedWork(kind, random.nextInt(3), 10 + random.nextInt(300), step * MILLI);
      item.late = random.nextInt(4) == 0;
      long ahead =
          all().stream()
              .filter(other -> QueuedWork.ORDER.compare(other, item) < 0)
              .filter(other -> other.work.canRunOnReplica() == item.work.canRunOnReplica())
              .count();
      if (!item.late) {
        assertWithMessage("step %s", step)
            .that(queue.expectedWaitMillis(item, 1.0 / MILLI, false))
            .isEqualTo(ahead);
      }
      queue.add(item);
      if (random.nextInt(3) == 0) {
        queue.removeMatching(other -> other.sequence % 5 == 0);
      }
      if (random.nextInt(3) == 0) {
        queue.removeNewlyLate(step * MILLI).forEach(queue::add);
      }
    }
    assertThat(all()).isInStrictOrder(QueuedWork.ORDER);
  }

  @Test
  void testSearchesForLateStatementsAreLimitedInRate() {
    for (int i = 0; i < 10; i++) {
      queue.add(queuedWork(WorkKind.READ, 1, 100, i * MILLI));
    }
    assertThat(queue.removeNewlyLate(75 * MILLI)).hasSize(5);
    assertThat(queue.removeNewlyLate(79 * MILLI)).isEmpty();
    assertThat(queue.removeNewlyLate(80 * MILLI)).hasSize(5);
  }
}

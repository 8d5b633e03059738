package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.SessionValues;
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

  private QueuedWork queuedWork(
      WorkKind kind, int priority, int targetMillis, long arrivedNanos, int serviceMillis) {
    Work work =
        new Work(
            kind,
            "r" + sequence,
            "item",
            null,
            Freshness.BOUNDED_AGE,
            1_500,
            null,
            SessionValues.EMPTY,
            0,
            false,
            false,
            priority,
            targetMillis,
            2_000,
            null);
    WorkHandler ignored =
        new WorkHandler() {
          @Override
          public void onAnswer(Answer answer) {}

          @Override
          public void onNotHome() {}
        };
    return new QueuedWork(
        this, work, ignored, arrivedNanos, sequence++, null, (double) serviceMillis * MILLI);
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
      int service = 3 + random.nextInt(60);
      QueuedWork item =
          queuedWork(kind, random.nextInt(3), 10 + random.nextInt(300), step * MILLI, service);
      item.late = random.nextInt(4) == 0;
      double nanosAhead =
          all().stream()
              .filter(other -> QueuedWork.ORDER.compare(other, item) < 0)
              .filter(other -> other.work.canRunOnReplica() == item.work.canRunOnReplica())
              .mapToDouble(other -> other.serviceNanos)
              .sum();
      if (!item.late) {
        assertWithMessage("step %s", step)
            .that(queue.expectedWaitMillis(item, 1, false, step * MILLI))
            .isEqualTo(Math.round(nanosAhead / MILLI));
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
      queue.add(queuedWork(WorkKind.READ, 1, 100, i * MILLI, 15));
    }
    assertThat(queue.removeNewlyLate(75 * MILLI)).hasSize(5);
    assertThat(queue.removeNewlyLate(79 * MILLI)).isEmpty();
    assertThat(queue.removeNewlyLate(80 * MILLI)).hasSize(5);
  }

  @Test
  void testExpectedWaitLeavesOutSlotsOfStatementsThatOvertake() {
    queue.add(queuedWork(WorkKind.READ, 1, 400, 0, 40));
    QueuedWork next = queuedWork(WorkKind.READ, 1, 400, 0, 40);
    assertThat(queue.expectedWaitMillis(next, 2, false, 0)).isEqualTo(20);
    long now = 0;
    for (int i = 0; i < 200; i++) {
      now += 10 * MILLI;
      queue.onDispatched(queuedWork(WorkKind.READ, 1, 400, 0, 10), now);
    }
    long wait = queue.expectedWaitMillis(next, 2, false, now);
    assertThat(wait).isAtLeast(36);
    assertThat(wait).isAtMost(44);
    QueuedWork shorter = queuedWork(WorkKind.READ, 1, 400, 0, 10);
    assertThat(queue.expectedWaitMillis(shorter, 2, false, now)).isEqualTo(0);
  }

  @Test
  void testShorterStatementsGoFirstWithinPriority() {
    QueuedWork slow = queuedWork(WorkKind.READ, 2, 400, 0, 22);
    QueuedWork fast = queuedWork(WorkKind.READ, 2, 400, MILLI, 14);
    QueuedWork urgent = queuedWork(WorkKind.READ, 1, 400, 2 * MILLI, 60);
    queue.add(slow);
    queue.add(fast);
    queue.add(urgent);
    assertThat(all()).containsExactly(urgent, fast, slow).inOrder();
  }

  @Test
  void testOrderIsTheSameForLongerAndShorterServiceTimes() {
    for (int scale : new int[] {1, 3, 9}) {
      QueuedWork slow = queuedWork(WorkKind.READ, 2, 400, 0, 8 * scale);
      QueuedWork fast = queuedWork(WorkKind.READ, 2, 400, MILLI, 5 * scale);
      assertWithMessage("scale %s", scale).that(QueuedWork.ORDER.compare(fast, slow)).isLessThan(0);
    }
  }
}

package org.chicorylane.internal.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * Relates a store's revisions to the clock of this process. A call that was sent at a time and
 * answered as of a revision proves that each later revision was assigned after that time.
 *
 * <p>Confined to one thread.
 */
public final class RevisionTimes {

  /** Number of calls that are remembered. */
  private static final int CAPACITY = 32;

  private record Call(long sentNanos, long revision) {}

  private final Deque<Call> calls = new ArrayDeque<>();

  /**
   * Records a call that the store has answered.
   *
   * @param sentNanos time at which the call was sent
   * @param revision the qualified revision as of which it was answered
   */
  public void onAnswer(long sentNanos, long revision) {
    if (calls.size() == CAPACITY) {
      calls.removeFirst();
    }
    calls.addLast(new Call(sentNanos, revision));
  }

  /**
   * Returns a time in nanoseconds after which a revision was assigned, the latest that is known;
   * empty if none is known.
   */
  public OptionalLong lowerBound(long revision) {
    return calls.stream()
        .filter(call -> call.revision() < revision)
        .mapToLong(Call::sentNanos)
        .max();
  }
}

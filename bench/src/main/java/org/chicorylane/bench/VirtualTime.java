package org.chicorylane.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs events in the order of their virtual instants; events of the same instant run in the order
 * in which they were scheduled. Not thread-safe.
 */
final class VirtualTime {
  private record Event(Instant at, long number, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
  private Instant now = Instant.EPOCH;
  private long scheduled;

  Instant now() {
    return now;
  }

  void at(Instant when, Runnable action) {
    events.add(new Event(when.isBefore(now) ? now : when, scheduled++, action));
  }

  void after(Duration delay, Runnable action) {
    at(now.plus(delay), action);
  }

  /** Runs every event up to the end, which is not included. */
  void runUntil(Instant end) {
    while (!events.isEmpty() && events.peek().at().isBefore(end)) {
      Event e = events.remove();
      now = e.at();
      e.action().run();
    }
    now = end;
  }
}

package org.chicorylane.internal.election;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chicorylane.internal.position.LogPosition;

/**
 * Makes sure that no other instance uses a group's primary before the home has another server
 * promoted: earlier homes and the successor stop when asked, or their validity passes.
 *
 * <p>Confined to the instance's thread.
 */
final class HomeExclusion {

  /** Pause between questions whether an earlier home's work has ended; transactions are longer. */
  private static final Duration END_PAUSE = Duration.ofMillis(500);

  /** Pause after an instance refused to stop, or did not answer; two looks of the home. */
  private static final Duration STOP_PAUSE = Duration.ofMillis(100);

  private final HomeElection election;
  private final HomeElection.Context context;
  private final Runnable onStopped;
  private final long begunNanos;
  private final Set<HomeRecord.Holder> stopped = new HashSet<>();
  private final Set<HomeRecord.Holder> asked = new HashSet<>();
  private final Map<HomeRecord.Holder, Long> endAskedNanos = new HashMap<>();
  private final Map<HomeRecord.Holder, Long> struckNanos = new HashMap<>();
  private LogPosition acknowledged = LogPosition.ZERO;
  private boolean striking;

  /**
   * Creates an exclusion for a home that begins now.
   *
   * @param onStopped told when an instance said that it stopped
   */
  HomeExclusion(HomeElection election, HomeElection.Context context, Runnable onStopped) {
    this.election = election;
    this.context = context;
    this.onStopped = onStopped;
    this.begunNanos = context.scheduler().nanoTime();
  }

  /** Returns whether no other instance can use the present primary any more. */
  boolean isExclusive(HomeRecord r) {
    return priorHomesStopped(r) && (r.successor() == null || stopped.contains(r.successor()));
  }

  /** Returns whether no earlier home can use the present primary any more. */
  boolean priorHomesStopped(HomeRecord r) {
    long validity = context.timings().validity().toNanos();
    long now = context.scheduler().nanoTime();
    return r.priorHomes().stream()
        .allMatch(
            h -> stopped.contains(h) || now - struckNanos.getOrDefault(h, begunNanos) > validity);
  }

  /** Returns the highest position that those who stopped had acknowledged. */
  LogPosition acknowledged() {
    return acknowledged;
  }

  /** Asks the earlier homes that have not stopped to end their work, from time to time. */
  void endPriorHomes(HomeRecord r) {
    long now = context.scheduler().nanoTime();
    for (HomeRecord.Holder home : r.priorHomes()) {
      long last = endAskedNanos.getOrDefault(home, begunNanos);
      if (!stopped.contains(home) && now - last > END_PAUSE.toNanos()) {
        endAskedNanos.put(home, now);
        ask(home, false);
      }
    }
  }

  /** Asks the earlier homes that have not stopped to stop at once. */
  void stopPriorHomes(HomeRecord r) {
    r.priorHomes().forEach(this::askToStop);
  }

  /** Asks the successor not to stand in, or takes the right from it if it does not answer. */
  void stopSuccessor(HomeRecord r, long waitedMillis) {
    HomeRecord.Holder successor = r.successor();
    if (successor == null || stopped.contains(successor)) {
      return;
    }
    askToStop(successor);
    if (waitedMillis > context.timings().evidenceTimeout().toMillis() && !striking) {
      striking = true;
      election.write(
          r.withoutSuccessor(context.ids().next()),
          revision -> {
            striking = false;
            struckNanos.put(successor, context.scheduler().nanoTime());
          },
          () -> striking = false);
    }
  }

  /** Takes note that the successor may stand in again: it has a new record. */
  void onNewRecord(HomeRecord before) {
    if (before.successor() != null) {
      stopped.remove(before.successor());
    }
  }

  private void askToStop(HomeRecord.Holder other) {
    if (stopped.contains(other) || !asked.add(other)) {
      return;
    }
    ask(other, true);
  }

  private void ask(HomeRecord.Holder other, boolean atOnce) {
    context
        .peerClient()
        .requestStop(
            election.group(),
            other,
            election.revision(),
            atOnce,
            stop -> {
              if (atOnce) {
                context.scheduler().schedule(STOP_PAUSE, () -> asked.remove(other));
              }
              if (stop.stopped()) {
                stopped.add(other);
                acknowledged = acknowledged.max(stop.acknowledged());
                election.log("home-stopped").with("home", other.name()).write();
                onStopped.run();
              }
            });
  }
}

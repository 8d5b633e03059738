package org.chicorylane.internal.election;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chicorylane.internal.position.LogPosition;

/**
 * Fences the earlier homes and the successor of a group: ensures that no other instance uses the
 * group's primary before the home has another server promoted. Each of them either stops on request
 * or loses its lease when the validity has passed.
 *
 * <p>Confined to the instance's thread.
 */
final class HomeExclusion {

  /**
   * Interval at which an earlier home is asked to stop as soon as its work has ended. Transactions
   * take longer than this.
   */
  private static final Duration END_REQUEST_INTERVAL = Duration.ofMillis(500);

  /**
   * Delay between a refused or unanswered request to stop immediately and the next request; two
   * ticks of the home.
   */
  private static final Duration STOP_REQUEST_INTERVAL = Duration.ofMillis(100);

  private final HomeElection election;
  private final HomeElection.Context context;
  private final Runnable onStopped;
  private final long startNanos;
  private final Set<HomeRecord.Holder> stopped = new HashSet<>();

  /** The instances that stopped and told what they had acknowledged. */
  private final Set<HomeRecord.Holder> accounted = new HashSet<>();

  /** Whether a successor was excluded without telling what it had acknowledged. */
  private boolean unaccountedSuccessor;

  private final Set<HomeRecord.Holder> pendingImmediateStops = new HashSet<>();
  private final Map<HomeRecord.Holder, Long> lastEndRequestNanos = new HashMap<>();
  private final Map<HomeRecord.Holder, Long> successorRemovedNanos = new HashMap<>();
  private LogPosition acknowledged = LogPosition.ZERO;
  private boolean removingSuccessor;

  /**
   * Creates an exclusion for a home that starts now.
   *
   * @param onStopped called when an instance has confirmed that it stopped
   */
  HomeExclusion(HomeElection election, HomeElection.Context context, Runnable onStopped) {
    this.election = election;
    this.context = context;
    this.onStopped = onStopped;
    this.startNanos = context.scheduler().nanoTime();
  }

  /** Returns whether neither an earlier home nor the successor can still use the primary. */
  boolean isExclusive(HomeRecord r) {
    return havePriorHomesStopped(r) && (r.successor() == null || stopped.contains(r.successor()));
  }

  /** Returns whether each earlier home has stopped or its lease has expired. */
  boolean havePriorHomesStopped(HomeRecord r) {
    long validity = context.timings().validity().toNanos();
    long now = context.scheduler().nanoTime();
    boolean omittedExpired = !r.hasOmittedPriorHomes() || now - startNanos > validity;
    return omittedExpired
        && r.priorHomes().stream()
            .allMatch(
                h ->
                    stopped.contains(h)
                        || now - successorRemovedNanos.getOrDefault(h, startNanos) > validity);
  }

  /** Returns the highest position that the stopped instances reported as acknowledged. */
  LogPosition acknowledged() {
    return acknowledged;
  }

  /**
   * Returns whether {@link #acknowledged} covers all that successors have acknowledged since this
   * home started or {@link #onPrimaryChanged} was called.
   */
  boolean isSuccessorAccounted(HomeRecord r) {
    return !unaccountedSuccessor && (r.successor() == null || accounted.contains(r.successor()));
  }

  /** Forgets what was acknowledged on the earlier primary, whose log the present one holds. */
  void onPrimaryChanged() {
    unaccountedSuccessor = false;
  }

  /** Asks earlier homes that have not stopped, at intervals, to stop once their work has ended. */
  void endPriorHomes(HomeRecord r) {
    long now = context.scheduler().nanoTime();
    for (HomeRecord.Holder home : r.priorHomes()) {
      long last = lastEndRequestNanos.getOrDefault(home, startNanos);
      if (!stopped.contains(home) && now - last > END_REQUEST_INTERVAL.toNanos()) {
        lastEndRequestNanos.put(home, now);
        requestStop(home, false);
      }
    }
  }

  /** Asks earlier homes that have not stopped to stop immediately. */
  void stopPriorHomes(HomeRecord r) {
    r.priorHomes().forEach(this::requestImmediateStop);
  }

  /**
   * Asks the successor not to stand in. If it has not stopped within the evidence timeout, removes
   * it from the record, so that it counts as an earlier home.
   *
   * @param waitedMillis how long the exclusion has been under way
   */
  void stopSuccessor(HomeRecord r, long waitedMillis) {
    HomeRecord.Holder successor = r.successor();
    if (successor == null || stopped.contains(successor)) {
      return;
    }
    requestImmediateStop(successor);
    if (waitedMillis > context.timings().evidenceTimeout().toMillis() && !removingSuccessor) {
      removingSuccessor = true;
      election.write(
          r.withoutSuccessor(context.ids().next()),
          revision -> {
            removingSuccessor = false;
            unaccountedSuccessor = true;
            successorRemovedNanos.put(successor, context.scheduler().nanoTime());
          },
          () -> removingSuccessor = false);
    }
  }

  /**
   * Prepares for the write of a new record, under which the successor may stand in again.
   *
   * @param before the record that is replaced
   */
  void onNewRecord(HomeRecord before) {
    if (before.successor() != null) {
      stopped.remove(before.successor());
      accounted.remove(before.successor());
    }
  }

  private void requestImmediateStop(HomeRecord.Holder other) {
    if (stopped.contains(other) || !pendingImmediateStops.add(other)) {
      return;
    }
    requestStop(other, true);
  }

  private void requestStop(HomeRecord.Holder other, boolean immediately) {
    context
        .peerClient()
        .requestStop(
            election.group(),
            other,
            election.revision(),
            immediately,
            reply -> {
              if (immediately) {
                context
                    .scheduler()
                    .schedule(STOP_REQUEST_INTERVAL, () -> pendingImmediateStops.remove(other));
              }
              if (reply.stopped()) {
                stopped.add(other);
                LogPosition reported = reply.acknowledged();
                if (reported != null) {
                  accounted.add(other);
                  acknowledged = acknowledged.max(reported);
                }
                election
                    .log("home-stopped")
                    .with("home", other.name())
                    .with("acknowledged", reported)
                    .write();
                onStopped.run();
              }
            });
  }
}

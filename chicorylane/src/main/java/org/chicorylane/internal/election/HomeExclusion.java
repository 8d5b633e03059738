package org.chicorylane.internal.election;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.Scheduler;

/**
 * Fences the earlier homes and the successor of a group: ensures that no other instance uses the
 * group's primary before the home has another server promoted. Each of them either confirms that it
 * stopped, or is confirmed to have been replaced by a later process at its address, or loses its
 * lease when the validity has passed. A refused connection, a silent one and a missing registration
 * confirm nothing.
 *
 * <p>All times are those of {@link Scheduler#waitNanoTime}. Confined to the instance's thread.
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

  /** The successors that were removed from the record, and may have stood in before. */
  private final Set<HomeRecord.Holder> removedSuccessors = new HashSet<>();

  private final Set<HomeRecord.Holder> pendingImmediateStops = new HashSet<>();

  /** The instances for which a log line tells that their leases are waited for. */
  private final Set<HomeRecord.Holder> loggedWaits = new HashSet<>();

  private final Map<HomeRecord.Holder, Long> lastEndRequestNanos = new HashMap<>();

  /**
   * Time since which the record has listed each earlier home, whose lease ends a validity later.
   */
  private final Map<HomeRecord.Holder, Long> listedNanos = new HashMap<>();

  /** Revision of the record up to which the successor does not stand in. */
  private long successorStoppedAt = -1;

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
    this.startNanos = context.scheduler().waitNanoTime();
    HomeRecord r = election.record();
    if (r != null) {
      r.priorHomes().forEach(h -> listedNanos.put(h, startNanos));
    }
  }

  /** Returns whether neither an earlier home nor the successor can still use the primary. */
  boolean isExclusive(HomeRecord r) {
    return havePriorHomesStopped(r) && (r.successor() == null || hasSuccessorStopped(r));
  }

  /** Returns whether the successor has stopped, and may not start again under this record. */
  private boolean hasSuccessorStopped(HomeRecord r) {
    return r.successor() != null
        && stopped.contains(r.successor())
        && successorStoppedAt >= election.revision();
  }

  /**
   * Returns whether each earlier home has stopped or its lease has expired, also that of a home
   * which a restored store has forgotten.
   */
  boolean havePriorHomesStopped(HomeRecord r) {
    long validity = context.timings().validity().toNanos();
    long now = context.scheduler().waitNanoTime();
    updateListed(r);
    boolean omittedExpired = !r.hasOmittedPriorHomes() || now - startNanos > validity;
    return omittedExpired
        && election.areEarlierErasOver()
        && r.priorHomes().stream()
            .allMatch(
                h -> stopped.contains(h) || now - listedNanos.getOrDefault(h, now) > validity);
  }

  /**
   * Notes the earlier homes that the record lists anew: a successor that was removed, or what is
   * known from before the store was restored. The record tells, as the write's answer may be lost.
   */
  private void updateListed(HomeRecord r) {
    listedNanos.keySet().retainAll(r.priorHomes());
    for (HomeRecord.Holder h : r.priorHomes()) {
      boolean isNew = listedNanos.putIfAbsent(h, context.scheduler().waitNanoTime()) == null;
      if (isNew) {
        // It may have stood in again since it stopped last.
        stopped.remove(h);
        accounted.remove(h);
        removedSuccessors.add(h);
      }
    }
  }

  /** Returns the highest position that the stopped instances reported as acknowledged. */
  LogPosition acknowledged() {
    return acknowledged;
  }

  /**
   * Returns whether {@link #acknowledged} covers all that successors have acknowledged since this
   * home started or {@link #forgetRemovedSuccessors} was called.
   */
  boolean isSuccessorAccounted(HomeRecord r) {
    return areRemovedSuccessorsAccounted()
        && (r.successor() == null || (hasSuccessorStopped(r) && accounted.contains(r.successor())));
  }

  /** Returns whether each successor that was removed told what it had acknowledged. */
  boolean areRemovedSuccessorsAccounted() {
    return accounted.containsAll(removedSuccessors);
  }

  /** Forgets removed successors, because a bound covers what they acknowledged. */
  void forgetRemovedSuccessors() {
    removedSuccessors.clear();
  }

  /** Asks earlier homes that have not stopped, at intervals, to stop once their work has ended. */
  void endPriorHomes(HomeRecord r) {
    updateListed(r);
    long now = context.scheduler().waitNanoTime();
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
    if (successor == null || hasSuccessorStopped(r)) {
      return;
    }
    requestImmediateStop(successor);
    if (waitedMillis > context.timings().evidenceTimeout().toMillis() && !removingSuccessor) {
      removingSuccessor = true;
      election.write(
          r.withoutSuccessor(context.ids().next()),
          revision -> removingSuccessor = false,
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
    HomeRecord r = election.record();
    boolean hasStopped =
        (r != null && other.equals(r.successor()))
            ? hasSuccessorStopped(r)
            : stopped.contains(other);
    if (hasStopped || !pendingImmediateStops.add(other)) {
      return;
    }
    requestStop(other, true);
  }

  /** Tells operators why a change of primary does not proceed, and for how long at most. */
  private void logWait(HomeRecord.Holder other) {
    long now = context.scheduler().waitNanoTime();
    long waitedNanos = now - listedNanos.getOrDefault(other, now);
    long leftNanos = context.timings().validity().toNanos() - waitedNanos;
    election
        .log("stop-unconfirmed")
        .with("home", other.name())
        .with("lease_left_ms", Math.max(0, leftNanos / 1_000_000))
        .write();
  }

  private void requestStop(HomeRecord.Holder other, boolean immediately) {
    long atRevision = election.revision();
    context
        .peerClient()
        .requestStop(
            election.group(),
            other,
            atRevision,
            immediately,
            reply -> {
              if (immediately) {
                context
                    .scheduler()
                    .schedule(STOP_REQUEST_INTERVAL, () -> pendingImmediateStops.remove(other));
              }
              if (!reply.stopped() && immediately && loggedWaits.add(other)) {
                logWait(other);
              }
              if (reply.stopped()) {
                stopped.add(other);
                HomeRecord r = election.record();
                if (r != null && other.equals(r.successor())) {
                  successorStoppedAt = Math.max(successorStoppedAt, atRevision);
                }
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

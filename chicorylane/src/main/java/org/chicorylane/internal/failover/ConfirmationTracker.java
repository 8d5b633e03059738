package org.chicorylane.internal.failover;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chicorylane.internal.position.LogPosition;

/**
 * Tracks writes that wait for quorum confirmation: a write may be acknowledged once a majority of
 * the group's voters holds the log up to the write's position, in the term in which it was written.
 *
 * <pre>{@code
 * tracker.beginTerm(openWrites.term(), openWrites.voters());
 * settle(tracker.submit("request-7", position, deadline));
 * if (tracker.needsObservation()) {
 *   run(machine.handle(new HomeEvent.ObserveNow(), now));
 * }
 * settle(tracker.onLogHeld(logHeld.server(), logHeld.term(), logHeld.offset()));
 * }</pre>
 *
 * <p>Offsets come only from {@link HomeAction.LogHeld}: each was read on the connection that holds
 * the server's lock. That a server held an offset in a term remains true, so an answer that arrives
 * late still counts.
 *
 * <p>Not thread-safe.
 */
public final class ConfirmationTracker {

  /**
   * The result of waiting for a write's confirmation.
   *
   * @param id the write's id, as submitted
   * @param confirmed true if the write may be acknowledged; false if its outcome is unknown
   */
  public record Settlement(String id, boolean confirmed) {}

  private record Pending(String id, long offset, Instant deadline) {}

  private final ReplicatedOffsets replicatedOffsets = new ReplicatedOffsets();
  private final Map<String, Pending> byId = new LinkedHashMap<>();
  private final TreeMap<Long, List<Pending>> byOffset = new TreeMap<>();
  private List<String> voters = List.of();

  /** Creates a tracker without a term, which confirms no write. */
  public ConfirmationTracker() {}

  /**
   * Begins a term, or changes the voters of the current term, after {@link HomeAction.OpenWrites}.
   *
   * @return in a new term, the pending writes of the previous term, whose outcome is now unknown;
   *     in the current term, the writes that are now confirmed
   */
  public List<Settlement> beginTerm(long term, Collection<String> newVoters) {
    voters = List.copyOf(newVoters);
    if (term == replicatedOffsets.term()) {
      return settleConfirmed();
    }
    List<Settlement> ended = endTerm();
    replicatedOffsets.beginTerm(term);
    return ended;
  }

  /**
   * Adds a write whose commit the primary has answered.
   *
   * @param id unique among the pending writes
   * @param position the position at which its commit record ends
   * @param deadline when its outcome becomes unknown
   * @return its settlement, if already known, and other writes that are now confirmed
   * @throws IllegalArgumentException if a write with the id is already pending
   */
  public List<Settlement> submit(String id, LogPosition position, Instant deadline) {
    if (position.term() != replicatedOffsets.term()) {
      return List.of(new Settlement(id, false));
    }
    Pending pending = new Pending(id, position.offset(), deadline);
    if (byId.putIfAbsent(id, pending) != null) {
      throw new IllegalArgumentException("write \"" + id + "\" is pending already");
    }
    byOffset.computeIfAbsent(position.offset(), offset -> new ArrayList<>()).add(pending);
    return settleConfirmed();
  }

  /**
   * Records how far a server holds the log, after {@link HomeAction.LogHeld}.
   *
   * @return the writes that are now confirmed
   */
  public List<Settlement> onLogHeld(String server, long term, long offset) {
    replicatedOffsets.advance(server, term, offset);
    return settleConfirmed();
  }

  /**
   * Ends the term, after a {@link HomeAction.CloseWrites} whose reason {@linkplain
   * CloseReason#endsPendingWrites ends pending writes}.
   *
   * @return all pending writes, with unknown outcome
   */
  public List<Settlement> endTerm() {
    List<Settlement> settled = new ArrayList<>();
    for (List<Pending> pending : byOffset.values()) {
      pending.forEach(p -> settled.add(new Settlement(p.id(), false)));
    }
    byId.clear();
    byOffset.clear();
    replicatedOffsets.beginTerm(0);
    return settled;
  }

  /**
   * Removes the pending writes whose deadline has passed and returns them, with unknown outcome.
   */
  public List<Settlement> expire(Instant now) {
    List<Settlement> settled = new ArrayList<>();
    for (Pending pending : List.copyOf(byId.values())) {
      if (!now.isBefore(pending.deadline())) {
        remove(pending);
        settled.add(new Settlement(pending.id(), false));
      }
    }
    return settled;
  }

  /**
   * Returns whether writes are pending, so that an observation should not wait for the heartbeat.
   */
  public boolean needsObservation() {
    return !byId.isEmpty();
  }

  /** Returns the number of pending writes. */
  public int pendingCount() {
    return byId.size();
  }

  private List<Settlement> settleConfirmed() {
    if (byOffset.isEmpty()) {
      return List.of();
    }
    long confirmed = replicatedOffsets.confirmedOffset(voters);
    List<Settlement> settled = new ArrayList<>();
    for (List<Pending> pending : List.copyOf(byOffset.headMap(confirmed, true).values())) {
      for (Pending p : List.copyOf(pending)) {
        remove(p);
        settled.add(new Settlement(p.id(), true));
      }
    }
    return settled;
  }

  private void remove(Pending pending) {
    byId.remove(pending.id());
    List<Pending> others = byOffset.get(pending.offset());
    if (others != null) {
      others.remove(pending);
      if (others.isEmpty()) {
        byOffset.remove(pending.offset());
      }
    }
  }
}

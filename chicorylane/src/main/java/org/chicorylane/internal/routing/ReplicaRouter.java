package org.chicorylane.internal.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.position.TermHistory;
import org.jspecify.annotations.Nullable;

/**
 * Selects, at a group's home, the backend servers of the group that may serve a read: those that
 * have replayed all that the session must see (read-your-writes) and whose data is not older than
 * the read accepts (bounded staleness).
 *
 * <pre>{@code
 * router.setServer("plans-chodov", 3, ServerAvailability.JOINED);
 * router.onTakeover("plans-liben", history, primaryPosition);
 * router.onReplayed("plans-chodov", startedAt, replayed, now);
 * if (router.choose(read, now) instanceof RoutingDecision.Serve serve) {
 *   queue.offer(serve.servers());
 * }
 * }</pre>
 *
 * <p>Does no I/O, starts no threads and reads no clock. Not thread-safe: calls for one group must
 * come from one thread or be guarded by a lock. A decision is valid only at its instant: call
 * {@link #choose} again when a slot becomes free. Report positions of the primary only while the
 * home is certain that the server is still the primary. Until {@link #onTakeover} is called, every
 * read is refused.
 */
public final class ReplicaRouter {
  /** Maximum time that a read waits for a replica to catch up. */
  private static final Duration MAX_CATCH_UP_WAIT = Duration.ofMillis(250);

  /** Minimum delay before the decision on a read that waits for a replica is repeated. */
  private static final Duration MIN_CATCH_UP_WAIT = Duration.ofMillis(2);

  /** Time that a read waits for a slot of a replica before it may also go to the primary. */
  private static final Duration OVERFLOW_AFTER = Duration.ofMillis(50);

  /** A read waits for a replica to catch up for at most this part of its time to the deadline. */
  private static final int DEADLINE_DIVISOR = 4;

  private static final int MAX_SAMPLES = 2_048;
  private static final int MAX_REMEMBERED_SESSIONS = 20_000;

  private final SelectionPolicy policy;
  private final RandomGenerator random;
  private final Map<String, ReplicaState> servers = new LinkedHashMap<>();
  private final FreshnessSamples samples = new FreshnessSamples(MAX_SAMPLES);
  private final RecentWrites writes;
  private @Nullable TermHistory history;
  private @Nullable String primary;

  /**
   * Creates a router without servers.
   *
   * @param policy the order of preference among servers that are fresh enough
   * @param random the source of randomness for tie-breaking and random choices
   */
  public ReplicaRouter(SelectionPolicy policy, RandomGenerator random) {
    this(policy, random, MAX_REMEMBERED_SESSIONS);
  }

  ReplicaRouter(SelectionPolicy policy, RandomGenerator random, int maxRememberedSessions) {
    this.policy = policy;
    this.random = random;
    this.writes = new RecentWrites(maxRememberedSessions);
  }

  /** Adds a server, or updates its slots and availability. */
  public void setServer(String server, int slots, ServerAvailability availability) {
    servers.computeIfAbsent(server, ReplicaState::new).update(slots, availability);
    if (availability == ServerAvailability.UNUSABLE) {
      onDisconnected(server);
    }
  }

  /** Removes a server that is no longer declared. */
  public void removeServer(String server) {
    servers.remove(server);
  }

  /**
   * Notifies the router that this instance has become the group's home. Writes made through earlier
   * homes are unknown here, so every session must see the primary's current position.
   *
   * @param primaryPosition the end of the primary's log, read after this instance became the home
   */
  public void onTakeover(String primary, TermHistory history, LogPosition primaryPosition) {
    setPrimary(primary, history);
    writes.settleAll(primaryPosition);
  }

  /**
   * Notifies the router that this home has promoted a server to primary. Writes in doubt can then
   * only have been committed before the start of the new term.
   */
  public void onPromotion(String primary, TermHistory history) {
    setPrimary(primary, history);
    TermHistory.Entry newest = history.entries().get(history.entries().size() - 1);
    writes.settleAll(new LogPosition(newest.term(), newest.startOffset()));
  }

  private void setPrimary(String primary, TermHistory history) {
    this.primary = primary;
    this.history = history;
    samples.clear();
  }

  /** Notifies the router that the primary is lost. Replicas continue to serve reads. */
  public void onPrimaryLost() {
    primary = null;
  }

  /**
   * Notifies the router that a server has replayed its log up to a position.
   *
   * @param startedAt when the server process started; a later start than before discards the
   *     recorded position, a report with an earlier start is a late answer and is ignored
   * @param replayed the replayed position, in the server's own term
   * @param at when the answer arrived
   */
  public void onReplayed(String server, Instant startedAt, LogPosition replayed, Instant at) {
    ReplicaState state = servers.get(server);
    if (state != null) {
      state.recordReplayed(startedAt, replayed, at);
      removeCoveredWrites();
    }
  }

  /**
   * Notifies the router that all connections to a server were lost, so that it may have restarted
   * with older data. Answers to requests sent over these connections must not be reported
   * afterwards.
   */
  public void onDisconnected(String server) {
    ReplicaState state = servers.get(server);
    if (state != null) {
      state.clearPosition();
    }
  }

  /**
   * Notifies the router that the primary reported the end of its log.
   *
   * @param sentAt when the status request or write that the primary answered was sent
   */
  public void onPrimaryPosition(Instant sentAt, LogPosition end) {
    if (history != null && end.term() == history.currentTerm()) {
      samples.add(sentAt, end.offset());
    }
  }

  /** Notifies the router that a session's write was acknowledged or found to be committed. */
  public void onWriteCommitted(String sessionId, LogPosition position) {
    writes.recordWrite(sessionId, position);
  }

  /**
   * Notifies the router that the outcome of a session's write is unknown. The session's reads need
   * the primary until {@link #onWriteSettled} is called for the write.
   */
  public void onWriteInDoubt(String sessionId) {
    writes.recordInDoubt(sessionId);
  }

  /**
   * Notifies the router that a session's write in doubt can no longer be committed after a
   * position.
   *
   * @param position the end of the primary's log, read after the write's connection was closed
   */
  public void onWriteSettled(String sessionId, LogPosition position) {
    writes.settle(sessionId, position);
  }

  /** Notifies the router that a request was sent to a server. */
  public void onDispatched(String server) {
    ReplicaState state = servers.get(server);
    if (state != null) {
      state.onDispatched();
    }
  }

  /** Notifies the router that a server has finished a request. */
  public void onAnswered(String server, Duration serviceTime) {
    ReplicaState state = servers.get(server);
    if (state != null) {
      state.onAnswered(serviceTime);
    }
  }

  /** Returns the number of sessions with writes that are not known to be on all replicas. */
  public int rememberedSessions() {
    return writes.size();
  }

  /** Returns an upper bound on the age of a server's data; empty if it is unknown. */
  public Optional<Duration> age(String server, Instant now) {
    ReplicaState state = servers.get(server);
    LogPosition replayed = state == null ? null : state.replayed();
    return replayed == null || !isInCurrentLog(replayed)
        ? Optional.empty()
        : samples.age(replayed.offset(), now);
  }

  /** Decides which servers may serve a read at {@code now}. */
  public RoutingDecision choose(ReadRequest read, Instant now) {
    Optional<RoutingDecision> refusal = checkFloor(read);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    if (needsPrimary(read)) {
      return servePrimaryOrRefuse(NotRunReason.NO_PRIMARY, "the read needs the primary");
    }
    long needed = neededOffset(read);
    List<ReplicaState> eligible =
        replicasAcceptingReads().stream()
            .filter(r -> covers(r, needed) && isFreshEnough(r, read, now))
            .toList();
    if (!eligible.isEmpty()) {
      return serve(eligible, read, now);
    }
    Optional<Instant> caughtUpAt = predictCatchUp(needed, read, now);
    if (caughtUpAt.isPresent()) {
      return new RoutingDecision.WaitUntil(
          caughtUpAt.get(), "a replica should reach offset " + needed);
    }
    return servePrimaryOrRefuse(
        NotRunReason.TOO_STALE,
        "no replica has replayed offset " + needed + " within age " + read.maximumAge());
  }

  private Optional<RoutingDecision> checkFloor(ReadRequest read) {
    if (history == null) {
      return refuse(NotRunReason.NOT_HOME, "the home has not taken over yet");
    }
    LogPosition floor = read.floor();
    if (floor == null || history.contains(floor)) {
      return Optional.empty();
    }
    return floor.term() > history.currentTerm()
        ? refuse(NotRunReason.NOT_HOME, "the session knows a later term: " + floor)
        : refuse(NotRunReason.SESSION_HISTORY_LOST, "position " + floor + " was lost");
  }

  private static Optional<RoutingDecision> refuse(NotRunReason reason, String detail) {
    return Optional.of(new RoutingDecision.Refuse(reason, detail));
  }

  private boolean needsPrimary(ReadRequest read) {
    Duration maximumAge = read.maximumAge();
    String session = read.sessionId();
    return (maximumAge != null && maximumAge.isZero())
        || (session != null && writes.hasInDoubt(session));
  }

  private long neededOffset(ReadRequest read) {
    long offset = read.floor() == null ? 0 : read.floor().offset();
    if (read.sessionId() == null) {
      return offset;
    }
    return Math.max(offset, offsetInCurrentLog(writes.floor(read.sessionId())));
  }

  /**
   * Returns the offset up to which the log that ends at {@code position} is part of the current
   * log; later terms may have started at a lower offset.
   */
  private long offsetInCurrentLog(LogPosition position) {
    long offset = position.offset();
    if (history != null) {
      for (TermHistory.Entry e : history.entries()) {
        offset = e.term() > position.term() ? Math.min(offset, e.startOffset()) : offset;
      }
    }
    return offset;
  }

  private List<ReplicaState> replicasAcceptingReads() {
    return servers.values().stream()
        .filter(r -> r.acceptsReads() && !r.name().equals(primary))
        .toList();
  }

  private boolean isInCurrentLog(LogPosition position) {
    return history != null && history.contains(position);
  }

  /**
   * Returns whether the replica's log is a prefix of the current log and reaches {@code offset}.
   */
  private boolean covers(ReplicaState replica, long offset) {
    LogPosition replayed = replica.replayed();
    return replayed != null && isInCurrentLog(replayed) && replayed.offset() >= offset;
  }

  private boolean isFreshEnough(ReplicaState replica, ReadRequest read, Instant now) {
    Duration maximumAge = read.maximumAge();
    return maximumAge == null
        || age(replica.name(), now).filter(a -> a.compareTo(maximumAge) <= 0).isPresent();
  }

  private RoutingDecision serve(List<ReplicaState> eligible, ReadRequest read, Instant now) {
    List<String> names = new ArrayList<>();
    policy.order(eligible, random).forEach(r -> names.add(r.name()));
    boolean mayOverflow =
        eligible.stream().allMatch(ReplicaState::isFull)
            && !now.isBefore(read.arrival().plus(OVERFLOW_AFTER));
    if (mayOverflow && isPrimaryAvailable()) {
      names.add(primary);
    }
    return new RoutingDecision.Serve(names);
  }

  /**
   * Predicts when a replica will have caught up far enough for the read; empty if none will within
   * the limits on waiting.
   */
  private Optional<Instant> predictCatchUp(long needed, ReadRequest read, Instant now) {
    Duration deadlineShare =
        Duration.between(read.arrival(), read.deadline()).dividedBy(DEADLINE_DIVISOR);
    Duration longestWait =
        deadlineShare.compareTo(MAX_CATCH_UP_WAIT) < 0 ? deadlineShare : MAX_CATCH_UP_WAIT;
    Instant latestCatchUp = read.arrival().plus(longestWait);
    long target = Math.max(needed, lowestOffsetWithin(read.maximumAge(), now));
    return replicasAcceptingReads().stream()
        .filter(r -> covers(r, 0))
        .flatMap(r -> r.predictReplayTime(target).stream())
        .min(Instant::compareTo)
        .map(i -> i.isBefore(now.plus(MIN_CATCH_UP_WAIT)) ? now.plus(MIN_CATCH_UP_WAIT) : i)
        .filter(i -> !i.isAfter(latestCatchUp));
  }

  /**
   * Returns the offset that a replica must reach for its data to be at most {@code maximumAge} old;
   * 0 if any age is accepted, {@code Long.MAX_VALUE} if the offset is unknown.
   */
  private long lowestOffsetWithin(@Nullable Duration maximumAge, Instant now) {
    return maximumAge == null ? 0 : samples.offsetWithin(maximumAge, now).orElse(Long.MAX_VALUE);
  }

  private boolean isPrimaryAvailable() {
    ReplicaState state = primary == null ? null : servers.get(primary);
    return state != null && state.acceptsReads();
  }

  private RoutingDecision servePrimaryOrRefuse(NotRunReason reason, String detail) {
    if (primary != null && isPrimaryAvailable()) {
      return new RoutingDecision.Primary(primary);
    }
    return new RoutingDecision.Refuse(reason, detail);
  }

  /** Forgets the writes that every replica that accepts reads has replayed. */
  private void removeCoveredWrites() {
    long lowest = Long.MAX_VALUE;
    for (ReplicaState r : replicasAcceptingReads()) {
      LogPosition replayed = r.replayed();
      lowest =
          replayed == null || !isInCurrentLog(replayed) ? 0 : Math.min(lowest, replayed.offset());
    }
    if (lowest != Long.MAX_VALUE) {
      writes.removeCovered(lowest);
    }
  }
}

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
 * Decides which backend server of one database group may serve a read, at the group's home: one
 * that has replayed what the session must see and whose data is young enough.
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
 * <p>A pure core: no I/O, threads or clock. Not thread-safe: one thread, or a lock, per group. A
 * decision holds only at its instant: decide again when a slot is there. Positions of the primary
 * count only if the home knows that it still is the primary. Before {@link #onTakeover} every read
 * is refused.
 */
public final class ReplicaRouter {
  /** Longest time that a read waits for a replica to catch up. */
  private static final Duration MAX_CATCH_UP_WAIT = Duration.ofMillis(250);

  /** Shortest time after which a read that waits for a replica is decided anew. */
  private static final Duration MIN_CATCH_UP_WAIT = Duration.ofMillis(2);

  /** Wait for a slot of a replica after which a read may also go to the primary. */
  private static final Duration OVERFLOW_AFTER = Duration.ofMillis(50);

  /** A read waits at most this fraction of the time to its deadline for a replica to catch up. */
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
   * Creates a router that knows no servers.
   *
   * @param policy the order of preference among servers that are fresh enough
   * @param random the source of random choices
   */
  public ReplicaRouter(SelectionPolicy policy, RandomGenerator random) {
    this(policy, random, MAX_REMEMBERED_SESSIONS);
  }

  ReplicaRouter(SelectionPolicy policy, RandomGenerator random, int maxRememberedSessions) {
    this.policy = policy;
    this.random = random;
    this.writes = new RecentWrites(maxRememberedSessions);
  }

  /** A server is declared, or its availability has changed. */
  public void setServer(String server, int slots, ServerAvailability availability) {
    servers.computeIfAbsent(server, ReplicaState::new).set(slots, availability);
    if (availability == ServerAvailability.UNUSABLE) {
      onDisconnected(server);
    }
  }

  /** A server is no longer declared. */
  public void removeServer(String server) {
    servers.remove(server);
  }

  /**
   * The home has become the owner of the group. What sessions wrote through earlier homes is not
   * known here, so every session must see the primary's position of this moment.
   *
   * @param primaryPosition the end of the primary's log, read after the ownership began
   */
  public void onTakeover(String primary, TermHistory history, LogPosition primaryPosition) {
    setPrimary(primary, history);
    writes.settleAll(primaryPosition);
  }

  /** This home has promoted a server, which ends all writes of unknown outcome. */
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

  /** The primary is lost; replicas go on serving what they hold. */
  public void onPrimaryLost() {
    primary = null;
  }

  /**
   * A server was seen to have replayed a position.
   *
   * @param startedAt when the server process started; another value than before drops what was
   *     known, an earlier one is a late answer and ignored
   * @param replayed the position, of the server's own term
   * @param at when the answer came
   */
  public void onReplayed(String server, Instant startedAt, LogPosition replayed, Instant at) {
    ReplicaState state = servers.get(server);
    if (state != null) {
      state.observe(startedAt, replayed, at);
      forgetCoveredWrites();
    }
  }

  /**
   * All connections to a server were lost, so it may have restarted with older data. What was asked
   * on them must not be reported any more.
   */
  public void onDisconnected(String server) {
    ReplicaState state = servers.get(server);
    if (state != null) {
      state.forgetPosition();
    }
  }

  /**
   * The primary reported the end of its log.
   *
   * @param sentAt when the question, or the write that it answers, was sent
   */
  public void onPrimaryPosition(Instant sentAt, LogPosition end) {
    if (history != null && end.term() == history.currentTerm()) {
      samples.add(sentAt, end.offset());
    }
  }

  /** A session's write was acknowledged, or found committed. */
  public void onWriteCommitted(String sessionId, LogPosition position) {
    writes.wrote(sessionId, position);
  }

  /** The outcome of a session's write is unknown; its reads need the primary until it settles. */
  public void onWriteInDoubt(String sessionId) {
    writes.startUnsettled(sessionId);
  }

  /**
   * A write of unknown outcome can no longer be committed after that position.
   *
   * @param position the end of the primary's log, read after the write's connection was ended
   */
  public void onWriteSettled(String sessionId, LogPosition position) {
    writes.settle(sessionId, position);
  }

  /** A request was sent to a server. */
  public void onDispatched(String server) {
    ReplicaState state = servers.get(server);
    if (state != null) {
      state.onDispatched();
    }
  }

  /** A request has left a server. */
  public void onAnswered(String server, Duration serviceTime) {
    ReplicaState state = servers.get(server);
    if (state != null) {
      state.onAnswered(serviceTime);
    }
  }

  /** Returns how many sessions have writes that some replica lacks. */
  public int rememberedSessions() {
    return writes.size();
  }

  /** Returns how old the data of a server is at most; empty if that is not known. */
  public Optional<Duration> age(String server, Instant now) {
    ReplicaState state = servers.get(server);
    LogPosition replayed = state == null ? null : state.replayed();
    return replayed == null || !survives(replayed)
        ? Optional.empty()
        : samples.age(replayed.offset(), now);
  }

  /** Decides who may serve a read. */
  public RoutingDecision choose(ReadRequest read, Instant now) {
    Optional<RoutingDecision> refusal = checkFloor(read);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    if (needsPrimary(read)) {
      return primaryOr(NotRunReason.NO_PRIMARY, "the read needs the primary");
    }
    long needed = neededOffset(read);
    List<ReplicaState> eligible =
        replicas().stream().filter(r -> covers(r, needed) && isYoung(r, read, now)).toList();
    if (!eligible.isEmpty()) {
      return serve(eligible, read, now);
    }
    Optional<Instant> caughtUp = catchUp(needed, read, now);
    if (caughtUp.isPresent()) {
      return new RoutingDecision.WaitUntil(
          caughtUp.get(), "a replica should reach offset " + needed);
    }
    return primaryOr(
        NotRunReason.TOO_STALE,
        "no replica has replayed offset " + needed + " within age " + read.maximumAge());
  }

  private Optional<RoutingDecision> checkFloor(ReadRequest read) {
    if (history == null) {
      return refuse(NotRunReason.NOT_HOME, "the home has not taken over yet");
    }
    LogPosition floor = read.floor();
    if (floor == null || history.survives(floor)) {
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
        || (session != null && writes.isUnsettled(session));
  }

  private long neededOffset(ReadRequest read) {
    long offset = read.floor() == null ? 0 : read.floor().offset();
    if (read.sessionId() == null) {
      return offset;
    }
    return Math.max(offset, survivingOffset(writes.floor(read.sessionId())));
  }

  /** Returns up to where the log before a position is part of the current log. */
  private long survivingOffset(LogPosition position) {
    long offset = position.offset();
    if (history != null) {
      for (TermHistory.Entry e : history.entries()) {
        offset = e.term() > position.term() ? Math.min(offset, e.startOffset()) : offset;
      }
    }
    return offset;
  }

  private List<ReplicaState> replicas() {
    return servers.values().stream()
        .filter(r -> r.acceptsReads() && !r.name().equals(primary))
        .toList();
  }

  private boolean survives(LogPosition position) {
    return history != null && history.survives(position);
  }

  /** Returns whether the replica's log is a prefix of the current one that reaches the offset. */
  private boolean covers(ReplicaState replica, long offset) {
    LogPosition replayed = replica.replayed();
    return replayed != null && survives(replayed) && replayed.offset() >= offset;
  }

  private boolean isYoung(ReplicaState replica, ReadRequest read, Instant now) {
    Duration maximumAge = read.maximumAge();
    return maximumAge == null
        || age(replica.name(), now).filter(a -> a.compareTo(maximumAge) <= 0).isPresent();
  }

  private RoutingDecision serve(List<ReplicaState> eligible, ReadRequest read, Instant now) {
    List<String> names = new ArrayList<>();
    policy.order(eligible, random).forEach(r -> names.add(r.name()));
    boolean overflows =
        eligible.stream().allMatch(ReplicaState::isFull)
            && !now.isBefore(read.arrival().plus(OVERFLOW_AFTER));
    if (overflows && hasPrimary()) {
      names.add(primary);
    }
    return new RoutingDecision.Serve(names);
  }

  /** Returns when to look again for a replica that catches up, if one should within the limits. */
  private Optional<Instant> catchUp(long needed, ReadRequest read, Instant now) {
    Duration share = Duration.between(read.arrival(), read.deadline()).dividedBy(DEADLINE_DIVISOR);
    Duration longest = share.compareTo(MAX_CATCH_UP_WAIT) < 0 ? share : MAX_CATCH_UP_WAIT;
    Instant latest = read.arrival().plus(longest);
    long target = Math.max(needed, offsetWithin(read.maximumAge(), now));
    return replicas().stream()
        .filter(r -> covers(r, 0))
        .flatMap(r -> r.reaches(target).stream())
        .min(Instant::compareTo)
        .map(i -> i.isBefore(now.plus(MIN_CATCH_UP_WAIT)) ? now.plus(MIN_CATCH_UP_WAIT) : i)
        .filter(i -> !i.isAfter(latest));
  }

  private long offsetWithin(@Nullable Duration maximumAge, Instant now) {
    return maximumAge == null ? 0 : samples.offsetWithin(maximumAge, now).orElse(Long.MAX_VALUE);
  }

  private boolean hasPrimary() {
    ReplicaState state = primary == null ? null : servers.get(primary);
    return state != null && state.acceptsReads();
  }

  private RoutingDecision primaryOr(NotRunReason reason, String detail) {
    if (primary != null && hasPrimary()) {
      return new RoutingDecision.Primary(primary);
    }
    return new RoutingDecision.Refuse(reason, detail);
  }

  private void forgetCoveredWrites() {
    long lowest = Long.MAX_VALUE;
    for (ReplicaState r : replicas()) {
      LogPosition replayed = r.replayed();
      lowest = replayed == null || !survives(replayed) ? 0 : Math.min(lowest, replayed.offset());
    }
    if (lowest != Long.MAX_VALUE) {
      writes.forgetCovered(lowest);
    }
  }
}

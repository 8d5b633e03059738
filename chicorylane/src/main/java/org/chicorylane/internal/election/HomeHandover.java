package org.chicorylane.internal.election;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.pool.GroupPool;
import org.chicorylane.internal.topology.BackendServer;
import org.chicorylane.internal.topology.PeerInstance;

/**
 * Hands a group over from its home to another instance: when this instance shuts down, can no
 * longer confirm its lease, is stalling, or has more groups for its size than the other one.
 *
 * <p>Confined to the instance's thread.
 */
final class HomeHandover {

  /** Minimum time as the home before the group is handed over to balance the load. */
  private static final Duration MIN_HOME_DURATION = Duration.ofSeconds(4);

  /** Interval at which a leaving home checks whether its promotion call was answered. */
  private static final Duration ANSWER_CHECK_INTERVAL = Duration.ofMillis(50);

  /** Instances asked at a time to take over a group that this instance cannot serve well. */
  private static final int MAXIMUM_CANDIDATES_ASKED = 3;

  /** Interval at which a home that is stalling asks others to take over. */
  private static final Duration STALLING_INTERVAL = Duration.ofSeconds(2);

  private final HomeElection election;
  private final HomeElection.Context context;
  private long lastUnconfirmedNanos;
  private long lastStallingNanos;
  private long homeSinceNanos;

  HomeHandover(HomeElection election, HomeElection.Context context) {
    this.election = election;
    this.context = context;
  }

  /** Records that this instance has become the home. */
  void onHomeBegun(long nowNanos) {
    homeSinceNanos = nowNanos;
  }

  /**
   * Hands the group over because this instance shuts down. A promotion call without an answer is
   * waited for first: the next home sends its own call with a higher token, which must not arrive
   * before this one.
   */
  void leave() {
    if (!election.isHome()) {
      return;
    }
    if (election.isPromotionUnanswered()) {
      context.scheduler().schedule(ANSWER_CHECK_INTERVAL, this::leave);
      return;
    }
    handOver(election.candidates(context.self().name()), 0);
  }

  /**
   * Hands the group over if that is due.
   *
   * @param confirmedAgeNanos age of the last read or write that renewed the lease
   */
  void tick(GroupPool pool, PrimarySupervisor supervisor, long confirmedAgeNanos) {
    if (confirmedAgeNanos > context.timings().validity().toNanos() / 2) {
      handOverUnconfirmed(confirmedAgeNanos);
    } else if (context.attention().isStalling()) {
      handOverStalling(supervisor);
    } else if (mayRebalance(pool, supervisor)) {
      rebalance();
    }
  }

  /**
   * Hands the group to an instance that can write the record, before this instance's lease ends.
   */
  private void handOverUnconfirmed(long confirmedAgeNanos) {
    if (now() - lastUnconfirmedNanos < context.timings().confirmInterval().toNanos()) {
      return;
    }
    lastUnconfirmedNanos = now();
    election.log("home-unconfirmed").with("age_ms", confirmedAgeNanos / 1_000_000).write();
    handOverToBest();
  }

  /** Hands the group to an instance that is not stalling, as its callers wait for this one. */
  private void handOverStalling(PrimarySupervisor supervisor) {
    if (now() - homeSinceNanos < MIN_HOME_DURATION.toNanos()
        || now() - lastStallingNanos < STALLING_INTERVAL.toNanos()
        || !supervisor.isSteady()) {
      return;
    }
    lastStallingNanos = now();
    election.log("home-stalling").write();
    handOverToBest();
  }

  private void handOverToBest() {
    handOver(
        election.candidates(context.self().name()).stream()
            .limit(MAXIMUM_CANDIDATES_ASKED)
            .toList(),
        0);
  }

  private boolean mayRebalance(GroupPool pool, PrimarySupervisor supervisor) {
    return context.balancer().isDue(now())
        && now() - homeSinceNanos >= MIN_HOME_DURATION.toNanos()
        && election.isRecentlyConfirmed()
        && supervisor.isSteady()
        && election.servers().stream().allMatch(s -> pool.canReach(s.id()));
  }

  /** Hands the group to an instance with fewer groups if that instance reaches all its servers. */
  private void rebalance() {
    ToIntFunction<String> otherHomes = election.otherHomes();
    context
        .balancer()
        .chooseReceiver(
            Candidates.rank(election.group(), context.peerClient().instances(), otherHomes),
            otherHomes,
            now())
        .ifPresent(this::handOverIfReachable);
  }

  private void handOverIfReachable(PeerInstance receiver) {
    List<BackendServer> servers = election.servers();
    List<String> pendingServers = new ArrayList<>(servers.stream().map(BackendServer::id).toList());
    for (BackendServer s : servers) {
      context
          .peerClient()
          .probeServer(
              receiver,
              new ServerConnector.Target(election.group(), s.id(), s.address()),
              reply -> {
                if (reply == PeerClient.PeerReply.YES
                    && pendingServers.remove(s.id())
                    && pendingServers.isEmpty()) {
                  election.log("home-spreading").with("to", receiver.name()).write();
                  handOver(List.of(receiver), 0);
                }
              });
    }
  }

  /** Asks the candidates in order, from {@code index} on, to take over until one does. */
  private void handOver(List<PeerInstance> candidates, int index) {
    if (index >= candidates.size() || !election.isHome()) {
      return;
    }
    PeerInstance candidate = candidates.get(index);
    context
        .peerClient()
        .requestTakeover(
            candidate,
            election.group(),
            reply -> {
              if (reply == PeerClient.PeerReply.YES) {
                election.retirePool("handed over to " + candidate.name());
              } else {
                handOver(candidates, index + 1);
              }
            });
  }

  private long now() {
    return context.scheduler().nanoTime();
  }
}

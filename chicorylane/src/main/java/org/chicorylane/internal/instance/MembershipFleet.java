package org.chicorylane.internal.instance;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.chicorylane.internal.membership.Member;
import org.chicorylane.internal.membership.MembershipAgent;
import org.chicorylane.internal.membership.MembershipSnapshot;
import org.chicorylane.internal.relay.Fleet;
import org.chicorylane.internal.relay.PeerAddress;

/** The live instances according to the membership protocol. Thread-safe. */
final class MembershipFleet implements Fleet {
  private final PeerAddress self;
  private volatile View view;

  /** Data derived from one snapshot. The candidates of a group are computed on first use. */
  private record View(
      MembershipSnapshot snapshot,
      List<PeerAddress> others,
      Map<String, List<PeerAddress>> candidates) {}

  MembershipFleet(MembershipAgent agent) {
    MembershipSnapshot first = agent.snapshot();
    this.self = address(first.self());
    this.view = view(first);
  }

  /** Replaces the membership snapshot. */
  void update(MembershipSnapshot snapshot) {
    view = view(snapshot);
  }

  @Override
  public PeerAddress self() {
    return self;
  }

  @Override
  public List<PeerAddress> candidates(String group) {
    View current = view;
    return current
        .candidates()
        .computeIfAbsent(
            group,
            g -> current.snapshot().candidates(g).stream().map(MembershipFleet::address).toList());
  }

  @Override
  public List<PeerAddress> others() {
    return view.others();
  }

  private View view(MembershipSnapshot snapshot) {
    List<PeerAddress> others =
        snapshot.liveMembers().stream()
            .filter(m -> !m.instanceId().equals(self.instance()))
            .map(MembershipFleet::address)
            .toList();
    return new View(snapshot, others, new ConcurrentHashMap<>());
  }

  private static PeerAddress address(Member m) {
    return new PeerAddress(m.instanceId(), m.host(), m.relayPort(), m.availabilityZone());
  }
}

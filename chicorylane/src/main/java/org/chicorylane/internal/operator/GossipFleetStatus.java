package org.chicorylane.internal.operator;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.membership.Member;
import org.chicorylane.internal.membership.MembershipSnapshot;
import org.chicorylane.internal.membership.RevisionGossip;

/**
 * Fleet status from the gossip of the membership protocol.
 *
 * <pre>{@code
 * FleetStatus status = new GossipFleetStatus(membershipAgent, declarationFeed::current);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class GossipFleetStatus implements FleetStatus {
  private final RevisionGossip gossip;
  private final Supplier<Declarations> inForce;

  /**
   * Creates a fleet status.
   *
   * @param inForce returns the declarations in force on this instance
   */
  public GossipFleetStatus(RevisionGossip gossip, Supplier<Declarations> inForce) {
    this.gossip = gossip;
    this.inForce = inForce;
  }

  @Override
  public String instance() {
    return gossip.snapshot().self().instanceId();
  }

  @Override
  public Declarations inForce() {
    return inForce.get();
  }

  @Override
  public List<InstanceStatus> instances() {
    MembershipSnapshot snapshot = gossip.snapshot();
    Map<String, Long> revisions = gossip.revisions();
    return snapshot.liveMembers().stream().map(m -> status(m, snapshot.self(), revisions)).toList();
  }

  private InstanceStatus status(Member member, Member self, Map<String, Long> revisions) {
    OptionalLong revision = OptionalLong.empty();
    if (member.instanceId().equals(self.instanceId())) {
      revision = OptionalLong.of(inForce.get().revision());
    } else if (revisions.containsKey(member.instanceId())) {
      revision = OptionalLong.of(revisions.getOrDefault(member.instanceId(), 0L));
    }
    return new InstanceStatus(
        member.instanceId(), member.availabilityZone(), member.status(), revision);
  }
}

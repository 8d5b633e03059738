package org.chicorylane.internal.operator;

import java.util.List;
import java.util.OptionalLong;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.membership.MemberStatus;

/**
 * A fleet of three instances: one is up to date, one has reported no revision, one is suspected to
 * be down and reported an older revision.
 */
final class FakeFleetStatus implements FleetStatus {
  private volatile Declarations inForce = Declarations.EMPTY;

  void setDeclarations(Declarations declarations) {
    inForce = declarations;
  }

  @Override
  public String instance() {
    return "i1";
  }

  @Override
  public Declarations inForce() {
    return inForce;
  }

  @Override
  public List<InstanceStatus> instances() {
    OptionalLong ownRevision = OptionalLong.of(inForce.revision());
    return List.of(
        new InstanceStatus("i1", "z1", MemberStatus.ALIVE, ownRevision),
        new InstanceStatus("i2", "z2", MemberStatus.ALIVE, OptionalLong.empty()),
        new InstanceStatus("i3", "z3", MemberStatus.SUSPECT, OptionalLong.of(1)));
  }
}

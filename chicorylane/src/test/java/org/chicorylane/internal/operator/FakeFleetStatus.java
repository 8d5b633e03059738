package org.chicorylane.internal.operator;

import java.util.List;
import java.util.OptionalLong;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.membership.MemberStatus;

/** A fleet of three: one up to date, one silent, one suspected at an older revision. */
final class FakeFleetStatus implements FleetStatus {
  private volatile Declarations inForce = Declarations.EMPTY;

  void install(Declarations declarations) {
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
    OptionalLong here = OptionalLong.of(inForce.revision());
    return List.of(
        new InstanceStatus("i1", "z1", MemberStatus.ALIVE, here),
        new InstanceStatus("i2", "z2", MemberStatus.ALIVE, OptionalLong.empty()),
        new InstanceStatus("i3", "z3", MemberStatus.SUSPECT, OptionalLong.of(1)));
  }
}

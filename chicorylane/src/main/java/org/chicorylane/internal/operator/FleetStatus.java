package org.chicorylane.internal.operator;

import java.util.List;
import org.chicorylane.internal.declaration.Declarations;

/**
 * What this instance knows of the fleet.
 *
 * <pre>{@code
 * long here = status.inForce().revision();
 * }</pre>
 *
 * <p>Implementations are thread-safe.
 */
public interface FleetStatus {

  /** Returns the id of this instance. */
  String instance();

  /** Returns the declarations in force here. */
  Declarations inForce();

  /** Returns all live instances, this one first. */
  List<InstanceStatus> instances();
}

package org.chicorylane.internal.operator;

import java.util.List;
import org.chicorylane.internal.declaration.Declarations;

/**
 * The status of all instances as observed by this instance.
 *
 * <pre>{@code
 * long revision = status.inForce().revision();
 * }</pre>
 *
 * <p>Implementations are thread-safe.
 */
public interface FleetStatus {

  /** Returns the id of this instance. */
  String instance();

  /** Returns the declarations in force on this instance. */
  Declarations inForce();

  /** Returns all live instances, this one first. */
  List<InstanceStatus> instances();
}

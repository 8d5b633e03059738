package org.chicorylane.internal.passthrough;

import org.jspecify.annotations.Nullable;

/**
 * What a prepared statement runs, independent of the name that a client gave it.
 *
 * @param mode whether it reads or writes
 * @param shape the statement's form, in the words of the client
 */
public record PreparedShape(AccessMode mode, String shape) {

  // Written out so that a starting process links no method handles for it.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof PreparedShape p && mode == p.mode && shape.equals(p.shape);
  }

  @Override
  public int hashCode() {
    return shape.hashCode();
  }
}

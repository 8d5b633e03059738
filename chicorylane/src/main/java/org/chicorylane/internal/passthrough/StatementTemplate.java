package org.chicorylane.internal.passthrough;

import org.jspecify.annotations.Nullable;

/**
 * The definition of a prepared statement, independent of the name that a client gave it.
 *
 * @param mode whether the statement reads or writes
 * @param text the statement text as the client sent it
 */
public record StatementTemplate(AccessMode mode, String text) {

  // Written out because the generated methods link method handles, which slows process start.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof StatementTemplate p && mode == p.mode && text.equals(p.text);
  }

  @Override
  public int hashCode() {
    return text.hashCode();
  }
}

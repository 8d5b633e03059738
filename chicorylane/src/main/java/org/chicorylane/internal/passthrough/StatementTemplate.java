package org.chicorylane.internal.passthrough;

import org.jspecify.annotations.Nullable;

/**
 * What a prepared statement runs, independent of the name that a client gave it.
 *
 * @param mode whether it reads or writes
 * @param text the statement's form, in the words of the client
 */
public record StatementTemplate(AccessMode mode, String text) {

  // Written out so that a starting process links no method handles for it.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof StatementTemplate p && mode == p.mode && text.equals(p.text);
  }

  @Override
  public int hashCode() {
    return text.hashCode();
  }
}

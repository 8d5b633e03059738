package org.chicorylane.internal.entry;

import org.jspecify.annotations.Nullable;

/** A client transaction and the destination to which all its statements are routed. */
final class RoutedTransaction {
  final String group;
  final long number;

  /**
   * The {@link org.chicorylane.internal.mesh.PeerLink} to the home, or the {@link HomeRouter}
   * itself if this instance is the home. Null before the first statement is routed, and after an
   * instance answered that it is not the home.
   */
  @Nullable Object destination;

  RoutedTransaction(String group, long number) {
    this.group = group;
    this.number = number;
  }
}

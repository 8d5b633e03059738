package org.chicorylane.internal.entry;

import org.jspecify.annotations.Nullable;

/** Where a client's transaction runs, from its first statement on. */
final class TransactionPlace {
  final String group;
  final long number;

  /** The link to the home, or the router itself if the home is this instance. */
  @Nullable Object place;

  TransactionPlace(String group, long number) {
    this.group = group;
    this.number = number;
  }
}

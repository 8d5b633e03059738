package org.chicorylane.internal.pool;

import java.util.Locale;

/** Why the pool closed a connection to a server that was not broken. */
enum ConnectionClose {
  /** Another account needs the connection more. */
  EVICTED,
  /** The connection's account was withdrawn. */
  WITHDRAWN,
  /** A later answer on the connection could not be told from a copy of an earlier one. */
  NOT_REUSABLE,
  /** A command that prepares the connection for a statement was not answered in time. */
  SETUP_OVERDUE;

  /** Returns the name of the reason in metrics and in the log. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}

package org.chicorylane.internal.pool;

import java.util.Locale;

/** Why the pool closed an idle connection to a server. */
enum ConnectionClose {
  /** Another account needs the connection more. */
  EVICTED,
  /** The connection's account was withdrawn. */
  WITHDRAWN;

  /** Returns the name of the reason in metrics and in the log. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}

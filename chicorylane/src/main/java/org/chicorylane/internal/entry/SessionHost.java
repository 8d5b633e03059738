package org.chicorylane.internal.entry;

import org.chicorylane.internal.topology.DatabaseRoute;
import org.jspecify.annotations.Nullable;

/** What a session needs of its instance. */
interface SessionHost {

  /** Returns the route of a database, null if there is none. */
  @Nullable DatabaseRoute route(String database);

  /** Returns the way to the homes. */
  HomeRouter router();

  /** Returns a number for a new transaction. */
  long nextTransaction();
}

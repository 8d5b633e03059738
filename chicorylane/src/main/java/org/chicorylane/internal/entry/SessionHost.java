package org.chicorylane.internal.entry;

import org.chicorylane.internal.account.AccountAccess;
import org.chicorylane.internal.topology.DatabaseRoute;
import org.jspecify.annotations.Nullable;

/** The services that an instance provides to its client sessions. */
interface SessionHost {

  /** Returns the route of a database, or null if no route has this name. */
  @Nullable DatabaseRoute route(String database);

  /** Returns the error text for a database that no route has, with the configuration's version. */
  String describeUnknown(String database);

  /** Returns whether the newest configuration grants {@code access}, null if there is none. */
  boolean isGranted(@Nullable AccountAccess access);

  /** Returns the router that sends statements to the homes of their groups. */
  HomeRouter router();

  /** Returns a new transaction number, unique within this instance. */
  long nextTransactionNumber();
}

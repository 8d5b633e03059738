package org.chicorylane.internal.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.chicorylane.internal.topology.Configuration;
import org.chicorylane.internal.topology.DatabaseRoute;
import org.jspecify.annotations.Nullable;

/**
 * Opens clients' sessions and closes them when the instance leaves.
 *
 * <p>Confined to the instance's thread.
 */
public final class SessionRegistry implements SessionHost {

  private final Supplier<@Nullable Configuration> configuration;
  private final HomeRouter router;
  private final Map<ClientSession, Runnable> sessions = new HashMap<>();
  private long transactions;

  /**
   * Creates an edge without sessions.
   *
   * @param configuration returns the configuration in force, null before the first is known
   */
  public SessionRegistry(Supplier<@Nullable Configuration> configuration, HomeRouter router) {
    this.configuration = configuration;
    this.router = router;
  }

  /** Returns whether databases can be told from unknown names. */
  public boolean knowsDatabases() {
    return configuration.get() != null;
  }

  /**
   * Opens a session; null if there is no such database.
   *
   * @param closeConnection closes the client's connection; called when the instance leaves
   */
  public @Nullable ClientSession open(String database, Runnable closeConnection) {
    if (route(database) == null) {
      return null;
    }
    ClientSession session = new ClientSession(this, database);
    sessions.put(session, closeConnection);
    return session;
  }

  /** Ends a session whose connection ended. */
  public void close(ClientSession session) {
    sessions.remove(session);
    session.close();
  }

  /** Closes the connections of idle sessions, or of all. Returns how many are left. */
  public int closeSessions(boolean idleOnly) {
    for (Map.Entry<ClientSession, Runnable> each : new ArrayList<>(sessions.entrySet())) {
      if (!idleOnly || each.getKey().isIdle()) {
        each.getValue().run();
      }
    }
    return sessions.size();
  }

  /** Returns how many sessions are open. */
  public int count() {
    return sessions.size();
  }

  @Override
  public @Nullable DatabaseRoute route(String database) {
    Configuration c = configuration.get();
    return c == null ? null : c.routes().get(database);
  }

  @Override
  public HomeRouter router() {
    return router;
  }

  @Override
  public long nextTransaction() {
    return ++transactions;
  }
}

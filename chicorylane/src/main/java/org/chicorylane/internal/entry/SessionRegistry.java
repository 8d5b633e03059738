package org.chicorylane.internal.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.chicorylane.internal.account.AccountAccess;
import org.chicorylane.internal.account.ClientAccount;
import org.chicorylane.internal.account.ClientAccounts;
import org.chicorylane.internal.account.KeyFingerprint;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.topology.Configuration;
import org.chicorylane.internal.topology.DatabaseRoute;
import org.jspecify.annotations.Nullable;

/**
 * The open client sessions of this instance. Closes them when the instance shuts down.
 *
 * <p>Confined to the instance's thread.
 */
public final class SessionRegistry implements SessionHost {

  private final Supplier<@Nullable Configuration> configuration;
  private final HomeRouter router;
  private final Map<ClientSession, Runnable> sessions = new HashMap<>();
  private long lastTransactionNumber;

  /**
   * Creates a registry without sessions.
   *
   * @param configuration returns the configuration in force, null before the first one is read
   */
  public SessionRegistry(Supplier<@Nullable Configuration> configuration, HomeRouter router) {
    this.configuration = configuration;
    this.router = router;
  }

  /**
   * Opens a session.
   *
   * @param key the key that the client presented, empty if none; ignored where no accounts are
   *     declared
   * @param closeConnection closes the client's connection; called when the instance shuts down
   */
  public OpenResult open(String database, String key, Runnable closeConnection) {
    Configuration c = configuration.get();
    if (c == null) {
      return new OpenResult.Refused(
          FailureCode.OVERLOADED, "no configuration yet; retry after 500 ms");
    }
    AccountAccess access = null;
    if (c.accounts() != null) {
      KeyFingerprint fingerprint = KeyFingerprint.of(key);
      ClientAccount account = c.accounts().findByKey(fingerprint);
      if (account == null) {
        return new OpenResult.Refused(
            FailureCode.UNKNOWN_KEY, "no account has key " + fingerprint.hex());
      }
      access = new AccountAccess(account.name(), fingerprint);
    }
    if (route(database) == null) {
      return new OpenResult.Refused(FailureCode.UNKNOWN_DATABASE, describeUnknown(database));
    }
    ClientSession session = new ClientSession(this, database, access);
    sessions.put(session, closeConnection);
    return new OpenResult.Opened(session);
  }

  /** Ends the session of a connection that has closed. */
  public void close(ClientSession session) {
    sessions.remove(session);
    session.close();
  }

  /**
   * Closes the connections of the idle sessions, or of all sessions. A session that is not idle
   * answers its running statement first.
   *
   * @return the number of sessions that are still registered
   */
  public int closeSessions(boolean idleOnly) {
    for (Map.Entry<ClientSession, Runnable> entry : new ArrayList<>(sessions.entrySet())) {
      if (!idleOnly || entry.getKey().isIdle()) {
        entry.getKey().abortRunning("the instance shuts down");
        entry.getValue().run();
      }
    }
    return sessions.size();
  }

  /** Rolls back the idle transactions of sessions that the configuration no longer grants. */
  public void onConfiguration() {
    new ArrayList<>(sessions.keySet()).forEach(ClientSession::checkAccess);
  }

  /** Returns the number of open sessions. */
  public int count() {
    return sessions.size();
  }

  @Override
  public @Nullable DatabaseRoute route(String database) {
    Configuration c = configuration.get();
    return c == null ? null : c.routes().get(database);
  }

  @Override
  public String describeUnknown(String database) {
    Configuration c = configuration.get();
    return "no database " + database + " in configuration " + (c == null ? 0 : c.version());
  }

  @Override
  public boolean isGranted(@Nullable AccountAccess access) {
    Configuration c = configuration.get();
    ClientAccounts accounts = c == null ? null : c.accounts();
    return accounts == null || (access != null && accounts.isGranted(access));
  }

  @Override
  public HomeRouter router() {
    return router;
  }

  @Override
  public long nextTransactionNumber() {
    return ++lastTransactionNumber;
  }
}

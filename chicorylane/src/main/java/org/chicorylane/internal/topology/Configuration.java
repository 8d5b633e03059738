package org.chicorylane.internal.topology;

import java.time.Duration;
import java.util.Map;
import org.chicorylane.internal.account.ClientAccounts;
import org.jspecify.annotations.Nullable;

/**
 * One version of the operators' configuration.
 *
 * <p>Immutable.
 *
 * @param version the version number, which grows with each change
 * @param routes the routes by database name
 * @param groups the database groups by name
 * @param transactionIdleLimit the idle time after which a transaction may be ended
 * @param maximumStatementBytes the largest accepted size of a statement in bytes
 * @param accounts the client accounts, null if sessions need none
 */
public record Configuration(
    long version,
    Map<String, DatabaseRoute> routes,
    Map<String, GroupDeclaration> groups,
    Duration transactionIdleLimit,
    int maximumStatementBytes,
    @Nullable ClientAccounts accounts) {

  /** Copies the maps. */
  public Configuration {
    routes = Map.copyOf(routes);
    groups = Map.copyOf(groups);
  }
}

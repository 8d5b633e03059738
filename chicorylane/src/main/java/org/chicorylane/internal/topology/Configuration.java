package org.chicorylane.internal.topology;

import java.time.Duration;
import java.util.Map;

/**
 * A version of what the operators declare.
 *
 * <p>Immutable.
 *
 * @param version grows with each change
 * @param routes by database
 * @param groups by name
 * @param transactionIdleLimit idle time after which a transaction may be ended
 * @param maximumStatementBytes the size of a statement that is still accepted
 */
public record Configuration(
    long version,
    Map<String, DatabaseRoute> routes,
    Map<String, GroupDeclaration> groups,
    Duration transactionIdleLimit,
    int maximumStatementBytes) {

  /** Copies the maps. */
  public Configuration {
    routes = Map.copyOf(routes);
    groups = Map.copyOf(groups);
  }
}

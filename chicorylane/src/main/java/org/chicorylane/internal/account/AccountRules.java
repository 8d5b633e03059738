package org.chicorylane.internal.account;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * What a deployment demands of client accounts, from an instance's settings.
 *
 * <p>Immutable.
 *
 * @param required whether sessions need an account even if the configuration declares none
 * @param withdrawalBound the time from the store's acknowledgement of a configuration to the moment
 *     at which keys that it lacks are refused everywhere; null if there is no such bound
 * @param confirmationRequired whether the bound also holds for an instance that cannot reach the
 *     store, which then has to refuse all keys
 * @param quota the limits on statements per account, null if accounts are not limited
 */
public record AccountRules(
    boolean required,
    @Nullable Duration withdrawalBound,
    boolean confirmationRequired,
    @Nullable Quota quota) {

  /** The rules of a deployment without accounts. */
  public static final AccountRules NONE = new AccountRules(false, null, false, null);

  /**
   * How strictly an account's rate is enforced: in any window, all instances together run at most
   * {@code (rate * window + burst) * (1 + overage) + slack} of its statements.
   *
   * @param window the length of the windows
   * @param overage the fraction by which the limit may be exceeded
   * @param slack the number of statements by which the limit may be exceeded besides
   */
  public record Quota(Duration window, double overage, int slack) {}
}

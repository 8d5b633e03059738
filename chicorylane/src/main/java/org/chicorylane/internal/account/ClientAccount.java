package org.chicorylane.internal.account;

import java.util.Set;

/**
 * A client account as operators declare it.
 *
 * <p>Immutable.
 *
 * @param name the account's name, which servers are told
 * @param keys the fingerprints of the keys that give access to the account; without any, nobody has
 *     access
 * @param priority the priority under load; 0 is served first
 * @param ratePerSecond the statements that the account may run per second on all instances together
 * @param burst the statements that the account may run at once after it was idle
 */
public record ClientAccount(
    String name, Set<KeyFingerprint> keys, int priority, double ratePerSecond, double burst) {

  /**
   * Copies the keys.
   *
   * @throws IllegalArgumentException if the name is blank or contains a blank, or if the rate or
   *     the burst is negative or not a finite number
   */
  public ClientAccount {
    if (name.isEmpty() || name.chars().anyMatch(Character::isWhitespace)) {
      throw new IllegalArgumentException("account name must be one word, not '" + name + "'");
    }
    checkAmount(name, "rate", ratePerSecond);
    checkAmount(name, "burst", burst);
    keys = Set.copyOf(keys);
  }

  private static void checkAmount(String name, String what, double amount) {
    if (!(amount >= 0 && amount < Double.POSITIVE_INFINITY)) {
      throw new IllegalArgumentException(
          what + " of account " + name + " must be at least 0, not " + amount);
    }
  }

  /** Returns whether the account may run any statement at all. */
  public boolean hasAllowance() {
    return ratePerSecond > 0 || burst > 0;
  }
}

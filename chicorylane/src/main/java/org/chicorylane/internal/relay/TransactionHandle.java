package org.chicorylane.internal.relay;

import java.util.Optional;

/**
 * The handle of an interactive transaction: the instance that runs it and a secret that cannot be
 * guessed.
 *
 * @param instance the id of the home
 * @param secret a number in hexadecimal
 */
public record TransactionHandle(String instance, String secret) {
  private static final char SEPARATOR = '~';

  /** Parses a handle; empty if {@code text} does not have the form of one. */
  public static Optional<TransactionHandle> parse(String text) {
    int separatorIndex = text.lastIndexOf(SEPARATOR);
    if (separatorIndex < 1 || separatorIndex == text.length() - 1) {
      return Optional.empty();
    }
    return Optional.of(
        new TransactionHandle(
            text.substring(0, separatorIndex), text.substring(separatorIndex + 1)));
  }

  /** Returns the text that callers send back to refer to the transaction. */
  public String toText() {
    return instance + SEPARATOR + secret;
  }
}

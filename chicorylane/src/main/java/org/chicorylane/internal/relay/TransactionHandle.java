package org.chicorylane.internal.relay;

import java.util.Optional;

/**
 * The handle of an interactive transaction: the home that holds it and a number that cannot be
 * guessed.
 *
 * @param instance the id of the home
 * @param secret the number, in hexadecimal
 */
public record TransactionHandle(String instance, String secret) {
  private static final char SEPARATOR = '~';

  /** Returns the handle that {@code text} stands for, if it has the form of one. */
  public static Optional<TransactionHandle> parse(String text) {
    int at = text.lastIndexOf(SEPARATOR);
    if (at < 1 || at == text.length() - 1) {
      return Optional.empty();
    }
    return Optional.of(new TransactionHandle(text.substring(0, at), text.substring(at + 1)));
  }

  /** Returns the form that callers send back. */
  public String toText() {
    return instance + SEPARATOR + secret;
  }
}

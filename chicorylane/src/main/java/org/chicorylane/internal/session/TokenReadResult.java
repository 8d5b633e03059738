package org.chicorylane.internal.session;

/** The result of decoding the text of a session token. */
public sealed interface TokenReadResult {

  /** The token was signed with one of the keys in force. */
  record Valid(SessionToken token) implements TokenReadResult {}

  /**
   * The text does not have the format of a session token, or is too long.
   *
   * @param detail what is wrong with the text; it contains no part of the token
   */
  record Malformed(String detail) implements TokenReadResult {}

  /**
   * The text has the format of a session token, but was not signed with any of the keys in force.
   *
   * @param detail what is wrong with the text; it contains no part of the token
   */
  record Forged(String detail) implements TokenReadResult {}
}

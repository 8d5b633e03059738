package org.chicorylane.internal.session;

/** What reading the text of a session token came to. */
public sealed interface TokenReadResult {

  /** The token was made by an instance that holds one of our keys. */
  record Valid(SessionToken token) implements TokenReadResult {}

  /**
   * The text is no session token.
   *
   * @param detail what is wrong with it; quotes nothing of the token
   */
  record Malformed(String detail) implements TokenReadResult {}

  /**
   * The text has a token's form, but none of the keys in force made its signature.
   *
   * @param detail what is wrong with it; quotes nothing of the token
   */
  record Forged(String detail) implements TokenReadResult {}
}

package org.chicorylane.internal.passthrough;

/**
 * A statement of a client, as far as the proxy must understand it. Texts hold one character for
 * each byte (ISO 8859-1), so that they leave as they came.
 */
public sealed interface ClientStatement {

  /** Begins a transaction. */
  record Begin(boolean readOnly) implements ClientStatement {}

  /** Commits the transaction. */
  record Commit() implements ClientStatement {}

  /** Rolls the transaction back. */
  record Rollback() implements ClientStatement {}

  /** Reads. {@code text} is the whole statement. */
  record Read(String text) implements ClientStatement {}

  /** Writes. {@code text} is the whole statement. */
  record Write(String text) implements ClientStatement {}

  /** Sets a value of the session. */
  record SetValue(String name, String value) implements ClientStatement {}

  /** Names a statement for later. */
  record Prepare(String name, StatementTemplate template) implements ClientStatement {}

  /** Runs a prepared statement. {@code arguments} is the text after the name. */
  record Execute(String name, String arguments) implements ClientStatement {}

  /** Forgets a prepared statement. */
  record Deallocate(String name) implements ClientStatement {}

  /** Text that is no statement. */
  record Malformed(String problem) implements ClientStatement {}
}

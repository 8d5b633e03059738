package org.chicorylane.internal.passthrough;

/**
 * A client's statement, parsed only as far as the proxy needs. Each character of a text holds one
 * byte (ISO 8859-1), so that the text can be forwarded byte for byte.
 */
public sealed interface ClientStatement {

  /** Begins a transaction. */
  record Begin(boolean readOnly) implements ClientStatement {}

  /** Commits the transaction. */
  record Commit() implements ClientStatement {}

  /** Rolls back the transaction. */
  record Rollback() implements ClientStatement {}

  /** Reads data. {@code text} is the whole statement. */
  record Read(String text) implements ClientStatement {}

  /** Writes data. {@code text} is the whole statement. */
  record Write(String text) implements ClientStatement {}

  /** Sets a session value. */
  record SetValue(String name, String value) implements ClientStatement {}

  /** Prepares a statement under a name. */
  record Prepare(String name, StatementTemplate template) implements ClientStatement {}

  /** Runs a prepared statement. {@code arguments} is the text after the name. */
  record Execute(String name, String arguments) implements ClientStatement {}

  /** Removes a prepared statement. */
  record Deallocate(String name) implements ClientStatement {}

  /** A text that is not a valid statement. */
  record Malformed(String problem) implements ClientStatement {}
}

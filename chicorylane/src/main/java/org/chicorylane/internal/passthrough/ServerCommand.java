package org.chicorylane.internal.passthrough;

import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/** What an instance sends to a backend server on an open connection. */
public sealed interface ServerCommand {

  /** A client's statement with its text unchanged. */
  record Forward(String requestId, @Nullable LogPosition floor, String text)
      implements ServerCommand {}

  /** A client's prepared statement under the name that it has on this connection. */
  record Execute(
      String requestId, @Nullable LogPosition floor, String preparedName, String arguments)
      implements ServerCommand {}

  /** A client's commit. */
  record Commit(String requestId) implements ServerCommand {}

  /** Begins a transaction; the server refuses if its log lacks {@code floor}. */
  record Begin(boolean readOnly, @Nullable LogPosition floor) implements ServerCommand {}

  /** Rolls back the transaction. */
  record Rollback() implements ServerCommand {}

  /** Sets a session value. */
  record SetValue(String name, String value) implements ServerCommand {}

  /** Prepares a statement. */
  record Prepare(String name, StatementTemplate template) implements ServerCommand {}

  /** Clears session values and prepared statements. */
  record Reset() implements ServerCommand {}

  /** Asks for role, term and positions. */
  record Status() implements ServerCommand {}

  /** Stops a replica from receiving, in favour of {@code term}. */
  record StopReceiving(long term) implements ServerCommand {}

  /** Lets a replica receive again. */
  record ResumeReceiving() implements ServerCommand {}

  /** Makes a primary of a term before {@code term} a replica. */
  record StepDown(long term) implements ServerCommand {}
}

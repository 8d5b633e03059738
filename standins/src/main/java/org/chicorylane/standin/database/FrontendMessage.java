package org.chicorylane.standin.database;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** A message of PostgreSQL's frontend/backend protocol 3.0 that a client sends. */
sealed interface FrontendMessage {

  /** The start of a session with its parameters. */
  record Startup(Map<String, String> parameters) implements FrontendMessage {}

  /** A request to cancel the running statement of another session. */
  record CancelRequest(int pid, int secret) implements FrontendMessage {}

  /** A cleartext password. */
  record Password(String password) implements FrontendMessage {}

  /** A simple query, which may hold several statements. */
  record Query(String sql) implements FrontendMessage {}

  /** A statement to prepare, with the types that the client declares (0 for none). */
  record Parse(String name, String sql, List<Integer> parameterTypes) implements FrontendMessage {}

  /** Values for a prepared statement, which makes a portal. */
  record Bind(
      String portal,
      String statement,
      List<Integer> parameterFormats,
      List<byte @Nullable []> parameters,
      List<Integer> resultFormats)
      implements FrontendMessage {}

  /** Asks for the description of a statement or a portal. */
  record Describe(boolean portal, String name) implements FrontendMessage {}

  /** Runs a portal, for at most {@code maxRows} rows (0 for all). */
  record Execute(String portal, int maxRows) implements FrontendMessage {}

  /** Closes a statement or a portal. */
  record Close(boolean portal, String name) implements FrontendMessage {}

  /** Ends a sequence of extended messages. */
  record Sync() implements FrontendMessage {}

  /** Asks for what has been answered so far. */
  record Flush() implements FrontendMessage {}

  /** The orderly end of a session. */
  record Terminate() implements FrontendMessage {}

  /** The connection has ended without a message. */
  record Disconnected() implements FrontendMessage {}

  /** A message type that this server does not know. */
  record Unsupported(char type) implements FrontendMessage {}
}

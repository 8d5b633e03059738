package org.chicorylane.internal.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.passthrough.StatementTemplate;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/** A connection to a server, with a record of the session state that the server keeps for it. */
final class PooledConnection {

  /** Number of prepared statements at which a connection is reset, to bound the server's memory. */
  private static final int MAX_PREPARED = 200;

  final PoolServer server;
  final ServerLink link;

  /** The client account whose statements the connection runs, empty where none are declared. */
  final String account;

  private final Map<String, String> values = new HashMap<>();
  private final Map<StatementTemplate, String> prepared = new HashMap<>();
  private int preparedCount;
  boolean closed;

  /** Time at which the connection was opened, taken or given back last. */
  long changedNanos;

  /** Whether the connection has been taken since it was opened. */
  boolean taken;

  @Nullable PoolTransaction transaction;

  private boolean hasBegun;

  /** The server's position when a transaction last began here; null if unknown. */
  private @Nullable LogPosition begunAt;

  PooledConnection(PoolServer server, ServerLink link, String account) {
    this.server = server;
    this.link = link;
    this.account = account;
  }

  /** Records that a transaction has begun while the server reported {@code position}. */
  void onBegun(@Nullable LogPosition position) {
    hasBegun = true;
    begunAt = position;
  }

  /**
   * Returns whether the answer to the beginning of a transaction would differ from an earlier one
   * on the connection, so that it cannot be a copy.
   */
  boolean canTellBeginning() {
    return !hasBegun || (begunAt != null && begunAt.compareTo(server.position) < 0);
  }

  /** Returns an upper bound on the commands needed to set the session's values; 0 if none are. */
  int setupCost(Map<String, String> wanted) {
    if (values.equals(wanted)) {
      return 0;
    }
    return wanted.keySet().containsAll(values.keySet()) ? wanted.size() : wanted.size() + 1;
  }

  /**
   * Returns the commands that give the connection the values and the prepared statement, and
   * records them as done. The caller must send the commands, or close the connection.
   *
   * @param template the statement to prepare; null if none is needed
   */
  List<ServerCommand> prepareSetup(
      Map<String, String> wanted, @Nullable StatementTemplate template) {
    boolean sameValues = values.equals(wanted);
    boolean samePrepared = template == null || prepared.containsKey(template);
    if (sameValues && samePrepared) {
      return List.of();
    }
    List<ServerCommand> commands = new ArrayList<>();
    if (!wanted.keySet().containsAll(values.keySet()) || prepared.size() >= MAX_PREPARED) {
      commands.add(new ServerCommand.Reset());
      values.clear();
      prepared.clear();
    }
    wanted.forEach(
        (name, value) -> {
          if (!value.equals(values.put(name, value))) {
            commands.add(new ServerCommand.SetValue(name, value));
          }
        });
    if (template != null && !prepared.containsKey(template)) {
      String name = "p" + ++preparedCount;
      prepared.put(template, name);
      commands.add(new ServerCommand.Prepare(name, template));
    }
    return commands;
  }

  /** Returns the name of a prepared statement on this connection; empty if it is not prepared. */
  String preparedName(StatementTemplate template) {
    return prepared.getOrDefault(template, "");
  }

  /** Clears the record of prepared statements, after the server reported one as unknown. */
  void clearPrepared() {
    prepared.clear();
  }
}

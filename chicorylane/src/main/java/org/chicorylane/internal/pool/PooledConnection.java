package org.chicorylane.internal.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.passthrough.StatementTemplate;
import org.jspecify.annotations.Nullable;

/** A connection to a server with the session state that the server holds for it. */
final class PooledConnection {

  /** Prepared statements after which a connection is cleared, to bound the server's memory. */
  private static final int MAXIMUM_PREPARED = 200;

  final PoolServer server;
  final ServerLink link;
  private final Map<String, String> values = new HashMap<>();
  private final Map<StatementTemplate, String> prepared = new HashMap<>();
  private int preparedSoFar;
  boolean closed;
  @Nullable PoolTransaction transaction;

  PooledConnection(PoolServer server, ServerLink link) {
    this.server = server;
    this.link = link;
  }

  /** Returns how many commands it takes to bring the session's values here. */
  int distanceTo(Map<String, String> wanted) {
    if (values.equals(wanted)) {
      return 0;
    }
    return wanted.keySet().containsAll(values.keySet()) ? wanted.size() : wanted.size() + 1;
  }

  /** Returns the commands that give the connection these values and this prepared statement. */
  List<ServerCommand> prepareFor(Map<String, String> wanted, @Nullable StatementTemplate template) {
    boolean sameValues = values.equals(wanted);
    boolean samePrepared = template == null || prepared.containsKey(template);
    if (sameValues && samePrepared) {
      return List.of();
    }
    List<ServerCommand> commands = new ArrayList<>();
    if (!wanted.keySet().containsAll(values.keySet()) || prepared.size() >= MAXIMUM_PREPARED) {
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
      String name = "p" + ++preparedSoFar;
      prepared.put(template, name);
      commands.add(new ServerCommand.Prepare(name, template));
    }
    return commands;
  }

  /** Returns the name that a template has on this connection. */
  String preparedName(StatementTemplate template) {
    return prepared.getOrDefault(template, "");
  }

  /** Forgets what the server says it does not know. */
  void forgetPrepared() {
    prepared.clear();
  }
}

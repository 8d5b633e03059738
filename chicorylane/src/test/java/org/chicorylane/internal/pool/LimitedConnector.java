package org.chicorylane.internal.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * A connector whose servers accept a limited number of connections. Records a violation for each
 * statement that is sent over a connection of another account; the id of a statement is that of its
 * account, a slash and a number.
 */
final class LimitedConnector implements ServerConnector {

  private static final Duration REFUSAL_TIME = Duration.ofMillis(2);

  private final ServerConnector delegate;
  private final Scheduler scheduler;
  private final Map<String, Integer> used = new HashMap<>();
  private final Map<String, Set<Link>> links = new HashMap<>();
  final Map<String, Integer> limits = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  int opened;
  int refused;

  LimitedConnector(ServerConnector delegate, Scheduler scheduler) {
    this.delegate = delegate;
    this.scheduler = scheduler;
  }

  /** Returns the number of connections of an account to a server. */
  int countOf(String serverId, String account) {
    return (int)
        links.getOrDefault(serverId, Set.of()).stream()
            .filter(link -> account.equals(link.account))
            .count();
  }

  /** Breaks the connections to a server. */
  void breakConnections(String serverId) {
    List.copyOf(links.getOrDefault(serverId, Set.of())).forEach(Link::close);
  }

  @Override
  public void connect(Target target, Listener listener) {
    String id = target.serverId();
    if (used.getOrDefault(id, 0) >= limits.getOrDefault(id, Integer.MAX_VALUE)) {
      refused++;
      scheduler.schedule(
          REFUSAL_TIME, () -> listener.onFailure(ConnectFailure.REJECTED, "TOOMANY " + id));
      return;
    }
    used.merge(id, 1, Integer::sum);
    delegate.connect(
        target,
        new Listener() {
          private @Nullable Link own;

          @Override
          public void onOpen(ServerLink link, @Nullable LogPosition position) {
            opened++;
            Link wrapped = new Link(link, target.account());
            own = wrapped;
            links.computeIfAbsent(id, i -> new HashSet<>()).add(wrapped);
            listener.onOpen(wrapped, position);
          }

          @Override
          public void onFailure(ConnectFailure failure, String detail) {
            used.merge(id, -1, Integer::sum);
            listener.onFailure(failure, detail);
          }

          @Override
          public void onClosed() {
            used.merge(id, -1, Integer::sum);
            links.getOrDefault(id, Set.of()).remove(own);
            listener.onClosed();
          }
        });
  }

  /** A connection that checks whose statements it runs. */
  private final class Link implements ServerLink {
    private final ServerLink delegate;
    private final @Nullable String account;

    Link(ServerLink delegate, @Nullable String account) {
      this.delegate = delegate;
      this.account = account;
    }

    @Override
    public void send(ServerCommand command, AnswerHandler handler) {
      String id =
          command instanceof ServerCommand.Forward f
              ? f.requestId()
              : command instanceof ServerCommand.Commit c ? c.requestId() : null;
      if (id != null && !id.substring(0, id.indexOf('/')).equals(account)) {
        violations.add(id + " on a connection of " + account);
      }
      delegate.send(command, handler);
    }

    @Override
    public void close() {
      delegate.close();
    }
  }
}

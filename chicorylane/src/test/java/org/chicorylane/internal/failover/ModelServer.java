package org.chicorylane.internal.failover;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A simulated backend server with its log, timeline, upstream, sessions and home lock. */
final class ModelServer {

  /** One write in the log. */
  record Entry(long write, long timeline) {}

  /** A session, as the server sees it. */
  static final class Session {
    final ModelInstance owner;
    final ControlConnection connection;
    final boolean control;
    boolean unresponsive;
    long lastMessage;
    long busyUntil;

    Session(ModelInstance owner, ControlConnection connection, boolean control, long now) {
      this.owner = owner;
      this.connection = connection;
      this.control = control;
      this.lastMessage = now;
    }
  }

  final String name;
  final FailoverModel model;
  final List<Entry> log = new ArrayList<>();
  final Set<Session> sessions = new LinkedHashSet<>();
  boolean alive = true;
  boolean frozen;
  boolean inRecovery;
  long timeline = 1;
  @Nullable String upstream;
  @Nullable Session lock;
  long lagMicros;

  ModelServer(String name, FailoverModel model) {
    this.name = name;
    this.model = model;
  }

  boolean isRunning() {
    return alive && !frozen;
  }

  void kill() {
    alive = false;
    frozen = false;
    for (Session session : List.copyOf(sessions)) {
      end(session);
    }
  }

  /** Ends a session. Its owner is notified unless the link is cut. */
  void end(Session session) {
    if (!sessions.remove(session)) {
      return;
    }
    if (lock == session) {
      lock = null;
    }
    model.sendToInstance(this, session, new HomeEvent.ControlLost(session.connection, "ended"));
  }

  /** Ends idle sessions and receives log; called every few milliseconds. */
  void tick() {
    if (!isRunning()) {
      return;
    }
    for (Session session : List.copyOf(sessions)) {
      if (session.control && model.now() - session.lastMessage > model.idleSessionTimeoutMicros) {
        end(session);
      }
    }
    if (lagMicros == 0) {
      receive(Integer.MAX_VALUE);
    }
  }

  /** Copies the upstream's log up to {@code limit} if this server's log is a prefix of it. */
  void receive(int limit) {
    if (!isRunning() || !inRecovery || upstream == null) {
      return;
    }
    ModelServer from = model.servers.get(upstream);
    if (!from.isRunning() || from.inRecovery || model.isCut(name, from.name) || !isPrefixOf(from)) {
      return;
    }
    timeline = from.timeline;
    int end = Math.min(limit, from.log.size());
    if (end > log.size()) {
      log.addAll(from.log.subList(log.size(), end));
    }
  }

  boolean isPrefixOf(ModelServer other) {
    int last = log.size() - 1;
    return last < other.log.size() && (last < 0 || log.get(last).equals(other.log.get(last)));
  }

  ServerObservation observe() {
    String address = upstream == null ? null : model.address(upstream);
    return new ServerObservation(inRecovery, timeline, log.size(), log.size(), address);
  }

  /** Runs a command and returns its answer. */
  HomeEvent run(HomeAction.ConnectionAction action, Session session) {
    ControlConnection c = session.connection;
    if (action instanceof HomeAction.TryLock) {
      List.copyOf(sessions).stream()
          .filter(s -> s.owner == session.owner && s.control && s != session)
          .forEach(this::end);
      lock = lock == null || model.mutation.sharesLocks() ? session : lock;
      return new HomeEvent.LockAnswered(c, lock == session);
    }
    if (action instanceof HomeAction.EndOthers) {
      List.copyOf(sessions).stream()
          .filter(s -> s.owner != session.owner && !model.mutation.sharesLocks())
          .forEach(this::end);
      return new HomeEvent.OthersEnded(c);
    }
    if (action instanceof HomeAction.Observe) {
      checkLocked(action, session);
      return new HomeEvent.Observed(c, observe());
    }
    checkLocked(action, session);
    if (action instanceof HomeAction.Seal) {
      if (model.mutation != FailoverModel.Mutation.LOCK_IS_SHARED_AND_SEAL_KEEPS_RECEIVING) {
        upstream = null;
      }
      return new HomeEvent.SealAnswered(c, timeline, log.size());
    }
    if (action instanceof HomeAction.Promote promote) {
      inRecovery = false;
      upstream = null;
      timeline = promote.timeline();
      model.onPromoted(this);
      return new HomeEvent.Promoted(c, timeline, log.size());
    }
    upstream = ((HomeAction.Follow) action).upstream();
    return new HomeEvent.Followed(c);
  }

  private void checkLocked(HomeAction action, Session session) {
    model.check(lock == session || model.mutation.sharesLocks(), action + " without the lock");
  }

  /** Runs a write and returns its position, or -1 if the server is in recovery and rejects it. */
  long write(long id) {
    if (inRecovery) {
      return -1;
    }
    log.add(new Entry(id, timeline));
    model.replicate(this);
    return log.size();
  }

  boolean containsWrite(long write) {
    for (int i = log.size() - 1; i >= 0; i--) {
      if (log.get(i).write() == write) {
        return true;
      }
    }
    return false;
  }
}

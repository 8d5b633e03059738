package org.chicorylane.standin.database;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The sessions of one server, their limit and their advisory locks.
 *
 * <p>Thread-safe.
 */
final class SessionRegistry {

  private static final int FIRST_PID = 1000;

  private final int limit;
  private final AdvisoryLocks locks = new AdvisoryLocks();
  private final Map<Integer, Session> sessions = new TreeMap<>();
  private int nextPid = FIRST_PID;
  private int peak;
  private int refused;
  private boolean shuttingDown;

  SessionRegistry(int limit) {
    this.limit = limit;
  }

  synchronized int newPid() {
    return nextPid++;
  }

  /** Adds a session; fails with 53300 beyond the limit. */
  synchronized void add(Session session) throws SqlError {
    if (shuttingDown) {
      throw new SqlError(SqlError.CANNOT_CONNECT_NOW, "the database system is shutting down");
    }
    if (sessions.size() >= limit) {
      refused++;
      throw new SqlError(SqlError.TOO_MANY_CONNECTIONS, "sorry, too many clients already");
    }
    sessions.put(session.pid(), session);
    peak = Math.max(peak, sessions.size());
  }

  synchronized void remove(Session session) {
    locks.releaseAll(session.pid());
    sessions.remove(session.pid());
    notifyAll();
  }

  AdvisoryLocks locks() {
    return locks;
  }

  boolean terminate(int pid, SqlError reason) {
    Session session = find(pid);
    if (session == null) {
      return false;
    }
    session.terminate(reason);
    return true;
  }

  private synchronized @Nullable Session find(int pid) {
    return sessions.get(pid);
  }

  /** Stops the running statement of a session, if the secret is the session's. */
  void cancel(int pid, int secret) {
    Session session = find(pid);
    if (session != null && session.secret() == secret) {
      session.cancelRunning();
    }
  }

  /** Forgets all sessions and their locks, as the end of the server's process does. */
  synchronized List<Session> clear() {
    List<Session> all = all();
    all.forEach(this::remove);
    return all;
  }

  synchronized List<Session> all() {
    return new ArrayList<>(sessions.values());
  }

  List<SessionActivity> activity() {
    return all().stream().map(Session::activity).toList();
  }

  synchronized void shuttingDown(boolean value) {
    shuttingDown = value;
  }

  /** Waits until no session is left. */
  synchronized void awaitEmpty() throws InterruptedException {
    while (!sessions.isEmpty()) {
      wait();
    }
  }

  synchronized int open() {
    return sessions.size();
  }

  synchronized int peak() {
    return peak;
  }

  synchronized int refused() {
    return refused;
  }

  synchronized void resetPeak() {
    peak = sessions.size();
  }
}

package org.chicorylane.standin.database;

import java.util.HashMap;
import java.util.Map;

/**
 * The session-level advisory locks of one server.
 *
 * <p>Thread-safe. A holder may take a lock several times and must release it as often.
 */
final class AdvisoryLocks {

  private record Holding(int pid, int count) {}

  private final Map<Long, Holding> holdings = new HashMap<>();

  synchronized boolean tryLock(long key, int pid) {
    Holding h = holdings.get(key);
    if (h != null && h.pid() != pid) {
      return false;
    }
    holdings.put(key, new Holding(pid, h == null ? 1 : h.count() + 1));
    return true;
  }

  synchronized boolean unlock(long key, int pid) {
    Holding h = holdings.get(key);
    if (h == null || h.pid() != pid) {
      return false;
    }
    if (h.count() == 1) {
      holdings.remove(key);
    } else {
      holdings.put(key, new Holding(pid, h.count() - 1));
    }
    return true;
  }

  synchronized void releaseAll(int pid) {
    holdings.values().removeIf(h -> h.pid() == pid);
  }

  /** Returns the process id of the session that holds {@code key}, or 0. */
  synchronized int holder(long key) {
    Holding h = holdings.get(key);
    return h == null ? 0 : h.pid();
  }
}

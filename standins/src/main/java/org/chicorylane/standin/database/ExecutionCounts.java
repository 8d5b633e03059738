package org.chicorylane.standin.database;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;

/**
 * Counts the statements that clients made a server run, whether or not they committed.
 *
 * <p>Thread-safe.
 */
final class ExecutionCounts {

  private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
  private final Queue<LoggedStatement> writes = new ConcurrentLinkedQueue<>();

  void count(String sql) {
    counts.computeIfAbsent(sql, s -> new LongAdder()).increment();
  }

  void write(String sql, List<@Nullable Object> parameters) {
    writes.add(new LoggedStatement(sql, sql, parameters, 0));
  }

  Map<String, Long> snapshot() {
    Map<String, Long> copy = new TreeMap<>();
    counts.forEach((sql, n) -> copy.put(sql, n.sum()));
    return copy;
  }

  List<LoggedStatement> writes() {
    return List.copyOf(writes);
  }
}

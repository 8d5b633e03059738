package org.chicorylane.bench.demo;

import java.time.Duration;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Counts the answers that callers received during a run and keeps the identifiers of acknowledged
 * and not run inserts for the {@link Auditor}. Thread-safe.
 */
public final class AnswerRecorder {
  private static final long MAX_LATENCY_MICROS = Duration.ofSeconds(60).toNanos() / 1000;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Map<String, Set<String>> acknowledged = new ConcurrentHashMap<>();
  private final Map<String, Set<String>> notRun = new ConcurrentHashMap<>();
  private final Queue<String> violations = new ConcurrentLinkedQueue<>();
  private final LongAdder statements = new LongAdder();
  private final LongAdder reads = new LongAdder();
  private final LongAdder replicaReads = new LongAdder();
  private final LongAdder staleReads = new LongAdder();
  private final LongAdder mixedAnswers = new LongAdder();
  private final LongAdder unresolved = new LongAdder();
  private final Histogram latency = new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);

  /** Counts an answer; records its latency, in microseconds, if the request completed. */
  void recordAnswer(Reply reply) {
    statements.increment();
    if (reply.outcome() == Reply.Outcome.COMPLETED) {
      latency.recordValue(Math.min(MAX_LATENCY_MICROS, reply.latency().toNanos() / 1000));
    }
  }

  void recordRead(Reply reply) {
    reads.increment();
    if (reply.fromReplica()) {
      replicaReads.increment();
    }
  }

  void recordAcknowledged(String group, String id) {
    acknowledged.computeIfAbsent(group, g -> ConcurrentHashMap.newKeySet()).add(id);
  }

  void recordNotRun(String group, String id) {
    notRun.computeIfAbsent(group, g -> ConcurrentHashMap.newKeySet()).add(id);
  }

  Set<String> notRunIds(String group) {
    return notRun.getOrDefault(group, Set.of());
  }

  /** Counts a write that may have run and is not retried. */
  void recordUnresolved() {
    unresolved.increment();
  }

  void recordStale(String detail) {
    staleReads.increment();
    violations.add("stale: " + detail);
  }

  void recordMixed(String detail) {
    mixedAnswers.increment();
    violations.add("mixed: " + detail);
  }

  Set<String> acknowledgedIds(String group) {
    return acknowledged.getOrDefault(group, Set.of());
  }

  Queue<String> violations() {
    return violations;
  }

  long acknowledgedCount() {
    return acknowledged.values().stream().mapToLong(Set::size).sum();
  }

  long statements() {
    return statements.sum();
  }

  long reads() {
    return reads.sum();
  }

  long replicaReads() {
    return replicaReads.sum();
  }

  long staleReads() {
    return staleReads.sum();
  }

  long mixedAnswers() {
    return mixedAnswers.sum();
  }

  long unresolvedCount() {
    return unresolved.sum();
  }

  Histogram latency() {
    return latency;
  }
}

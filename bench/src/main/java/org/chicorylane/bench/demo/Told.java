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

/** What callers were told during a run, for the audit. Thread-safe. */
public final class Told {
  private static final long HIGHEST_MICROS = Duration.ofSeconds(60).toNanos() / 1000;
  private static final int DIGITS = 3;

  private final Map<String, Set<String>> acknowledged = new ConcurrentHashMap<>();
  private final Map<String, Set<String>> notRun = new ConcurrentHashMap<>();
  private final Queue<String> violations = new ConcurrentLinkedQueue<>();
  private final LongAdder statements = new LongAdder();
  private final LongAdder reads = new LongAdder();
  private final LongAdder replicaReads = new LongAdder();
  private final LongAdder staleReads = new LongAdder();
  private final LongAdder mixedAnswers = new LongAdder();
  private final LongAdder unresolved = new LongAdder();
  private final Histogram latency = new ConcurrentHistogram(HIGHEST_MICROS, DIGITS);

  void answered(Reply reply) {
    statements.increment();
    if (reply.fate() == Reply.Fate.COMPLETED) {
      latency.recordValue(Math.min(HIGHEST_MICROS, reply.took().toNanos() / 1000));
    }
  }

  void read(Reply reply) {
    reads.increment();
    if (reply.fromReplica()) {
      replicaReads.increment();
    }
  }

  void landed(String group, String id) {
    acknowledged.computeIfAbsent(group, g -> ConcurrentHashMap.newKeySet()).add(id);
  }

  void refused(String group, String id) {
    notRun.computeIfAbsent(group, g -> ConcurrentHashMap.newKeySet()).add(id);
  }

  Set<String> refused(String group) {
    return notRun.getOrDefault(group, Set.of());
  }

  void unresolved() {
    unresolved.increment();
  }

  void stale(String evidence) {
    staleReads.increment();
    violations.add("stale: " + evidence);
  }

  void mixed(String evidence) {
    mixedAnswers.increment();
    violations.add("mixed: " + evidence);
  }

  Set<String> acknowledged(String group) {
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

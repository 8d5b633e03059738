package org.chicorylane.standin.platform;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of the calls that the stand-in has received, by kind, including calls that it never
 * answered.
 *
 * <p>Thread-safe.
 */
public final class CallCounts {

  private final Map<CallKind, LongAdder> counts = new EnumMap<>(CallKind.class);

  CallCounts() {
    for (CallKind kind : CallKind.values()) {
      counts.put(kind, new LongAdder());
    }
  }

  void increment(CallKind kind) {
    adder(kind).increment();
  }

  /** Returns the number of calls of {@code kind} since the start. */
  public long of(CallKind kind) {
    return adder(kind).sum();
  }

  /** Returns the number of calls of all kinds since the start. */
  public long total() {
    return counts.values().stream().mapToLong(LongAdder::sum).sum();
  }

  private LongAdder adder(CallKind kind) {
    LongAdder adder = counts.get(kind);
    if (adder == null) {
      throw new IllegalStateException("no counter for " + kind);
    }
    return adder;
  }
}

package org.chicorylane.internal.runtime;

import java.util.function.LongSupplier;

/**
 * A monotonic clock that includes the time during which the machine was suspended. The JVM's
 * monotonic clock stops during a suspension, so this clock advances by the larger of its advance
 * and that of the system clock.
 *
 * <pre>{@code
 * LongSupplier now = new SuspensionAwareClock(System::nanoTime, System::currentTimeMillis);
 * }</pre>
 *
 * <p>A forward jump of the system clock also advances this clock; this only ends periods of
 * validity early. Not thread-safe.
 */
public final class SuspensionAwareClock implements LongSupplier {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Differences up to this are attributed to the resolution and the drift of the system clock. */
  private static final long TOLERANCE_NANOS = 20 * NANOS_PER_MILLI;

  private final LongSupplier steadyNanos;
  private final LongSupplier systemMillis;
  private long lastSteadyNanos;
  private long lastSystemMillis;
  private long addedNanos;

  /**
   * Creates a clock.
   *
   * @param steadyNanos returns the time of a monotonic clock in nanoseconds
   * @param systemMillis returns the system time in milliseconds
   */
  public SuspensionAwareClock(LongSupplier steadyNanos, LongSupplier systemMillis) {
    this.steadyNanos = steadyNanos;
    this.systemMillis = systemMillis;
    this.lastSteadyNanos = steadyNanos.getAsLong();
    this.lastSystemMillis = systemMillis.getAsLong();
  }

  @Override
  public long getAsLong() {
    long steady = steadyNanos.getAsLong();
    long system = systemMillis.getAsLong();
    long missingNanos = (system - lastSystemMillis) * NANOS_PER_MILLI - (steady - lastSteadyNanos);
    if (missingNanos > TOLERANCE_NANOS) {
      addedNanos += missingNanos;
    }
    if (Math.abs(missingNanos) > TOLERANCE_NANOS
        || steady - lastSteadyNanos > 1_000 * NANOS_PER_MILLI) {
      lastSteadyNanos = steady;
      lastSystemMillis = system;
    }
    return steady + addedNanos;
  }
}

package org.chicorylane.internal.runtime;

import java.util.function.LongSupplier;

/**
 * A clock that advances by the larger of the steady clock's and the system clock's advance, so that
 * a suspension of the machine counts although the steady clock stands still meanwhile.
 *
 * <pre>{@code
 * LongSupplier now = new SuspensionAwareClock(System::nanoTime, System::currentTimeMillis);
 * }</pre>
 *
 * <p>A jump of the system clock makes time seem to pass; that only ends periods of validity early.
 * Not thread-safe.
 */
public final class SuspensionAwareClock implements LongSupplier {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Differences up to this are the resolution and the drift of the system clock. */
  private static final long TOLERANCE_NANOS = 20 * NANOS_PER_MILLI;

  private final LongSupplier steadyNanos;
  private final LongSupplier systemMillis;
  private long lastSteady;
  private long lastSystem;
  private long added;

  /**
   * Creates a clock.
   *
   * @param steadyNanos a clock that never goes back, in nanoseconds
   * @param systemMillis the time of day, in milliseconds
   */
  public SuspensionAwareClock(LongSupplier steadyNanos, LongSupplier systemMillis) {
    this.steadyNanos = steadyNanos;
    this.systemMillis = systemMillis;
    this.lastSteady = steadyNanos.getAsLong();
    this.lastSystem = systemMillis.getAsLong();
  }

  @Override
  public long getAsLong() {
    long steady = steadyNanos.getAsLong();
    long system = systemMillis.getAsLong();
    long missing = (system - lastSystem) * NANOS_PER_MILLI - (steady - lastSteady);
    if (missing > TOLERANCE_NANOS) {
      added += missing;
    }
    if (Math.abs(missing) > TOLERANCE_NANOS || steady - lastSteady > 1_000 * NANOS_PER_MILLI) {
      lastSteady = steady;
      lastSystem = system;
    }
    return steady + added;
  }
}

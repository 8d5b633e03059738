package org.chicorylane.internal.time;

import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * A monotonic clock for deadlines and timeouts. It starts at the system time and then advances with
 * {@link System#nanoTime}, so that a correction of the system time neither delays nor fires timers.
 *
 * <pre>{@code
 * InstantSource clock = SteadyInstantSource.start();
 * }</pre>
 *
 * <p>Immutable and thread-safe. It drifts from the system time, so it is not meant for display.
 */
public final class SteadyInstantSource implements InstantSource {

  private final Instant start;
  private final LongSupplier nanoTime;
  private final long startNanos;

  SteadyInstantSource(Instant start, LongSupplier nanoTime) {
    this.start = start;
    this.nanoTime = nanoTime;
    this.startNanos = nanoTime.getAsLong();
  }

  /** Returns a clock that starts at the current system time. */
  public static SteadyInstantSource start() {
    return new SteadyInstantSource(InstantSource.system().instant(), System::nanoTime);
  }

  @Override
  public Instant instant() {
    return start.plusNanos(nanoTime.getAsLong() - startNanos);
  }
}

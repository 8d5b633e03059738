package org.chicorylane.internal.time;

import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * A clock for deadlines and timeouts: it starts at the system's time and from then on advances with
 * the runtime's steady clock, so a correction of the system's time neither stalls nor fires timers.
 *
 * <pre>{@code
 * InstantSource clock = SteadyInstantSource.start();
 * }</pre>
 *
 * <p>Immutable and thread-safe. It drifts from the system's time; show people the latter.
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

  /** Returns a clock that starts at the system's time of now. */
  public static SteadyInstantSource start() {
    return new SteadyInstantSource(InstantSource.system().instant(), System::nanoTime);
  }

  @Override
  public Instant instant() {
    return start.plusNanos(nanoTime.getAsLong() - startNanos);
  }
}

package org.chicorylane.internal.runtime;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * A scheduler whose timers run on a Netty event loop, which is the instance's thread.
 *
 * <p>Confined to that thread.
 */
public final class EventLoopScheduler implements Scheduler {

  private final EventLoop loop;
  private final LongSupplier clock;
  private final LongSupplier waitClock;
  private final Consumer<RuntimeException> onFailure;

  /**
   * Creates a scheduler.
   *
   * @param clock returns monotonic nanoseconds that include suspensions
   * @param waitClock returns monotonic nanoseconds that never run ahead
   * @param onFailure called with the error of a task that failed; the event loop keeps it to itself
   */
  public EventLoopScheduler(
      EventLoop loop,
      LongSupplier clock,
      LongSupplier waitClock,
      Consumer<RuntimeException> onFailure) {
    this.onFailure = onFailure;
    this.waitClock = waitClock;
    this.loop = loop;
    this.clock = clock;
  }

  @Override
  public long nanoTime() {
    return clock.getAsLong();
  }

  @Override
  public long waitNanoTime() {
    return waitClock.getAsLong();
  }

  @Override
  public Timer schedule(Duration delay, Runnable task) {
    Future<?> future =
        loop.schedule(() -> runAndReport(task), delay.toNanos(), TimeUnit.NANOSECONDS);
    return () -> future.cancel(false);
  }

  private void runAndReport(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      onFailure.accept(e);
    }
  }
}

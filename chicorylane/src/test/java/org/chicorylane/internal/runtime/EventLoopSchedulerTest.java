package org.chicorylane.internal.runtime;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests tasks that fail. Guards against an instance whose periodic checks have stopped after one
 * unexpected error, and against errors that nobody sees.
 */
final class EventLoopSchedulerTest {

  private final DefaultEventLoop loop = new DefaultEventLoop();
  private final LinkedBlockingQueue<RuntimeException> failures = new LinkedBlockingQueue<>();
  private final EventLoopScheduler scheduler =
      new EventLoopScheduler(loop, System::nanoTime, System::nanoTime, failures::add);

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void testErrorOfTaskIsReported() throws InterruptedException {
    scheduler.schedule(
        Duration.ZERO,
        () -> {
          throw new IllegalStateException("no room");
        });
    assertThat(failures.poll(10, TimeUnit.SECONDS)).hasMessageThat().isEqualTo("no room");
  }

  @Test
  void testRepeatedTaskRunsAgainAfterAnError() throws InterruptedException {
    CountDownLatch runs = new CountDownLatch(3);
    loop.execute(
        () ->
            scheduler.repeat(
                Duration.ofMillis(1),
                () -> {
                  runs.countDown();
                  throw new IllegalStateException("no room");
                }));
    assertThat(runs.await(10, TimeUnit.SECONDS)).isTrue();
  }
}

package org.chicorylane.internal.runtime;

import static com.google.common.truth.Truth.assertThat;

import io.netty.util.internal.logging.InternalLogger;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.junit.jupiter.api.Test;

/**
 * Guards against losing Netty's warnings, and against a logger that throws to Netty once the thread
 * of the log has ended.
 */
final class NettyLogTest {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  @Test
  void testWarningsAndErrorsAreLoggedWithArgumentsAndCause() {
    JsonLineLog log = new JsonLineLog(new VirtualScheduler(), out, "i1", 10);
    InternalLogger logger =
        NettyLog.logger("io.netty.Sample", new NettyLog.Target(log, Runnable::run));
    logger.warn("no room for {} frames", 3);
    logger.error("lost", new IllegalStateException("closed"));
    log.drain();
    String text = out.toString(StandardCharsets.UTF_8);
    assertThat(text)
        .contains("\"event\":\"netty\",\"level\":\"WARN\",\"logger\":\"io.netty.Sample\"");
    assertThat(text).contains("no room for {} frames [3]");
    assertThat(text).contains("\"cause\":\"java.lang.IllegalStateException: closed\"");
  }

  @Test
  void testWarningAfterLogThreadEndedDoesNotThrow() {
    JsonLineLog log = new JsonLineLog(new VirtualScheduler(), out, "i1", 10);
    Executor rejecting =
        task -> {
          throw new RejectedExecutionException("ended");
        };
    NettyLog.logger("io.netty.Sample", new NettyLog.Target(log, rejecting)).warn("late");
    log.drain();
    assertThat(out.size()).isEqualTo(0);
  }

  @Test
  void testLowerLevelsAreNotLogged() {
    JsonLineLog log = new JsonLineLog(new VirtualScheduler(), out, "i1", 10);
    InternalLogger logger =
        NettyLog.logger("io.netty.Sample", new NettyLog.Target(log, Runnable::run));
    logger.info("started");
    log.drain();
    assertThat(out.size()).isEqualTo(0);
  }
}

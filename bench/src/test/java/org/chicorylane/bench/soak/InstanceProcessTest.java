package org.chicorylane.bench.soak;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.chicorylane.standin.wire.InstanceSettings;
import org.chicorylane.standin.wire.LoopbackPorts;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against rules that are checked of an instance while it may still be excused. */
final class InstanceProcessTest {

  private static final long WINDOW_MILLIS = 1_000;

  // Soak seed 20: an instance was paused for longer than the window, and counted as in touch when
  // it went on.
  @Test
  void testPauseLongerThanTheWindowCountsUntilItsEnd(@TempDir Path folder) throws Exception {
    AtomicLong clock = new AtomicLong(1);
    ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
    try (LoopbackPorts ports = new LoopbackPorts();
        Timeline timeline = new Timeline(folder.resolve("timeline.log"));
        InstanceProcess process =
            new InstanceProcess(
                "instance-0",
                new InstanceSettings("instance-0", "zone-0", ports, "127.0.0.1:1", "127.0.0.1:1"),
                List.of("sleep", "30"),
                folder,
                executor,
                timeline,
                clock::get)) {
      process.signal("STOP");
      clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS + 100));
      assertThat(process.wasPausedWithin(WINDOW_MILLIS)).isFalse();
      process.signal("CONT");
      assertThat(process.wasPausedWithin(WINDOW_MILLIS)).isTrue();
    } finally {
      executor.shutdownNow();
    }
  }
}

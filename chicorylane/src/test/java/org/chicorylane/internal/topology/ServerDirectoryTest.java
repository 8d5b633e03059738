package org.chicorylane.internal.topology;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import org.chicorylane.internal.runtime.VirtualScheduler;
import org.junit.jupiter.api.Test;

final class ServerDirectoryTest {

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private int changes;
  private final ServerDirectory directory = new ServerDirectory(scheduler, () -> changes++);

  private static BackendServer server(String id) {
    return new BackendServer(id, "plans", "10.0.0.1:1", "a", 3, false, false, 1);
  }

  @Test
  void testMissingEntryCountsAsGoneOnlyAfterTheGrace() {
    directory.put(server("s1"));
    directory.markMissing("s1");
    scheduler.advance(Duration.ofSeconds(2));
    assertThat(directory.ofGroup("plans")).hasSize(1);
    scheduler.advance(Duration.ofSeconds(1));
    assertThat(directory.ofGroup("plans")).isEmpty();
  }

  @Test
  void testEntryThatIsBackInTimeStays() {
    directory.put(server("s1"));
    directory.replaceAll(Map.of());
    scheduler.advance(Duration.ofSeconds(2));
    directory.put(server("s1"));
    scheduler.advance(Duration.ofSeconds(5));
    assertThat(directory.ofGroup("plans")).hasSize(1);
    assertThat(changes).isEqualTo(1);
  }

  @Test
  void testReturnOfTheStoreStartsTheGraceAnew() {
    directory.put(server("s1"));
    directory.markMissing("s1");
    scheduler.advance(Duration.ofSeconds(2));
    directory.onStoreReturned();
    scheduler.advance(Duration.ofSeconds(2));
    assertThat(directory.ofGroup("plans")).hasSize(1);
  }
}

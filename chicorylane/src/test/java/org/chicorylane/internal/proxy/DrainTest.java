package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.chicorylane.internal.entry.ClientSession;
import org.chicorylane.internal.passthrough.ClientStatement;
import org.chicorylane.internal.passthrough.ModelServer;
import org.junit.jupiter.api.Test;

/** Tests that an instance that shuts down leaves no statement without an answer. */
final class DrainTest {

  private static final Duration LIMIT = Duration.ofMillis(2_300);

  private final ModelFleet fleet = new ModelFleet(3);
  private final List<String> events = new ArrayList<>();

  /** Runs a statement shortly before the end of a drain, while no server answers. */
  private void runAtEndOfDrain(ClientStatement statement) {
    fleet.start();
    ModelHost host = fleet.hosts().get(2);
    final ClientSession session = host.openSession(ModelFleet.LATEST, () -> events.add("closed"));
    host.instance.drain(LIMIT, () -> events.add("stopped"));
    fleet.advance(LIMIT.toMillis() - 60);
    ModelFleet.SERVERS.stream().map(fleet.group::server).forEach(DrainTest::silence);
    session.run("r1", statement, answer -> events.add("answer " + answer.failure()));
    fleet.advance(1_000);
  }

  private static void silence(ModelServer server) {
    server.unresponsive = true;
  }

  // Guards against connections that a shutdown closes without an answer to a waiting write.
  @Test
  void testWaitingWriteIsAnsweredAsInDoubtBeforeItsConnectionIsClosed() {
    runAtEndOfDrain(new ClientStatement.Write("WRITE item data"));
    assertThat(events.subList(0, 2)).containsExactly("answer IN_DOUBT", "closed").inOrder();
    assertThat(events.stream().filter(e -> e.startsWith("answer"))).hasSize(1);
  }

  // Guards against connections that a shutdown closes without an answer to a waiting read.
  @Test
  void testWaitingReadIsAnsweredAsAbortedBeforeItsConnectionIsClosed() {
    runAtEndOfDrain(new ClientStatement.Read("READ item"));
    assertThat(events.subList(0, 2)).containsExactly("answer ABORTED", "closed").inOrder();
  }
}

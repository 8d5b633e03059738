package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.chicorylane.internal.entry.ClientSession;
import org.chicorylane.internal.passthrough.ClientStatement;
import org.junit.jupiter.api.Test;

/**
 * Guards against statements that are run for clients which have closed their connections while the
 * statements waited at the home of the group ({@code give_up}).
 */
final class ClosedSessionTest {

  private static final int SESSIONS = 60;

  private final ModelFleet fleet = new ModelFleet(3);
  private final Set<String> arrived = new HashSet<>();
  private int answered;

  /** Sends more reads than the servers have room for, closes their sessions, and waits. */
  private void closeWhileWaiting(ModelHost entry) {
    for (String id : ModelFleet.SERVERS) {
      fleet.group.server(id).work = Duration.ofMillis(40);
    }
    fleet.group.arrivalListener = (server, requestId, sender) -> arrived.add(requestId);
    List<ClientSession> sessions = new ArrayList<>();
    for (int i = 0; i < SESSIONS; i++) {
      ClientSession session = entry.openSession(ModelFleet.LATEST, () -> {});
      session.run("r" + i, new ClientStatement.Read("READ 1a4"), answer -> answered++);
      sessions.add(session);
    }
    fleet.advance(20);
    sessions.forEach(entry.instance.sessions()::close);
    fleet.advance(10);
    Set<String> arrivedBefore = new HashSet<>(arrived);
    fleet.advance(2_000);
    assertThat(arrived).containsExactlyElementsIn(arrivedBefore);
    assertThat(arrived.size()).isLessThan(SESSIONS / 2);
    assertThat(answered).isEqualTo(0);
  }

  @Test
  void testStatementsOfClosedSessionsAreNotSentByTheHome() {
    fleet.start();
    fleet.advance(2_000);
    closeWhileWaiting(fleet.home().orElseThrow());
  }

  @Test
  void testHomeOnAnotherInstanceIsToldOfClosedSessions() {
    fleet.start();
    fleet.advance(2_000);
    ModelHost home = fleet.home().orElseThrow();
    closeWhileWaiting(fleet.hosts().stream().filter(h -> h != home).findFirst().orElseThrow());
  }
}

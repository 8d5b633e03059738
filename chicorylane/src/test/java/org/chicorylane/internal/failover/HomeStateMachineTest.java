package org.chicorylane.internal.failover;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.chicorylane.internal.position.TermHistory;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against writes that open on a record read before the primary's lock was acquired, when
 * another home may have changed the voters since, and against answers of abandoned connections.
 */
final class HomeStateMachineTest {
  private static final Instant START = Instant.ofEpochSecond(1_000);
  private static final StoredRecord STORED =
      new StoredRecord(
          new GroupRecord(1, "s0", "i9", TermHistory.first(1), List.of("s0", "s1", "s2")), 7);

  private final HomeStateMachine machine =
      new HomeStateMachine(
          "i0", FailoverModel.declareGroup(3, Set.of()), FailoverTimings.DEFAULTS, 1);
  private final List<HomeAction> actions = new ArrayList<>();

  @BeforeEach
  void readRecordThenLockAllServers() {
    on(new HomeEvent.CandidatesChanged(true, List.of("i0")), START);
    on(new HomeEvent.RecordRead(STORED), START);
    for (String server : List.of("s0", "s1", "s2")) {
      ControlConnection connection = new ControlConnection(server, 1);
      Instant now = START.plusMillis(5);
      on(new HomeEvent.ControlOpened(connection), now);
      on(new HomeEvent.LockAnswered(connection, true), now);
      on(new HomeEvent.OthersEnded(connection), now);
      boolean inRecovery = !server.equals("s0");
      ServerObservation seen =
          new ServerObservation(inRecovery, 1, 50, 50, inRecovery ? "10.0.0.0:5432" : null);
      on(new HomeEvent.Observed(connection, seen), now);
    }
  }

  private void on(HomeEvent event, Instant now) {
    actions.addAll(machine.handle(event, now));
  }

  @Test
  void testRecordReadBeforeTheLockDoesNotOpenWrites() {
    assertThat(machine.isServingWrites()).isFalse();
    on(new HomeEvent.RecordRead(STORED), START.plusMillis(8));
    assertThat(machine.isServingWrites()).isTrue();
  }

  @Test
  void testRecordReadBeforeTheLockServesWhileStoreIsDown() {
    on(new HomeEvent.RecordUnavailable("timeout"), START.plusMillis(300));
    assertThat(machine.isServingWrites()).isTrue();
  }

  @Test
  void testAnswersOfAnAbandonedConnectionAreIgnored() {
    actions.clear();
    ServerObservation seen = new ServerObservation(false, 1, 90, 90, null);
    on(new HomeEvent.Observed(new ControlConnection("s0", 0), seen), START.plusMillis(9));
    assertThat(actions.stream().filter(a -> a instanceof HomeAction.LogHeld).toList()).isEmpty();
  }
}

package org.chicorylane.internal.dissemination;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against an instance that reverts to older declarations or stays behind the store. The
 * faults are injected by {@link SimulatedDissemination}: store outages, lost messages, unanswered
 * calls and restarts of instances.
 */
final class RevisionStateMachineTest {

  private static final Duration IN_FORCE_TIME = Duration.ofSeconds(13);
  private static final Instant START = Instant.EPOCH;
  private static final DeclarationSnapshot REVISION_FIVE =
      new DeclarationSnapshot(5, List.of("five"));

  private final RevisionStateMachine stateMachine =
      new RevisionStateMachine(RevisionOptions.DEFAULT, 1, START);

  @Test
  void testOlderSnapshotIsNeverInstalled() {
    stateMachine.onRead(REVISION_FIVE, 9, START);
    assertThat(stateMachine.onRead(new DeclarationSnapshot(4, List.of()), 10, START)).isEmpty();
    stateMachine.onPulled(new DeclarationSnapshot(3, List.of()), START);
    assertThat(stateMachine.installedRevision()).isEqualTo(5);
  }

  @Test
  void testWatchBeginsAtRevisionAfterRead() {
    stateMachine.onRole(true, 8, START);
    assertThat(stateMachine.onRead(REVISION_FIVE, 9, START))
        .contains(new RevisionAction.OpenWatch(10));
  }

  @Test
  void testWatcherTriesStoreFirstAndOthersTryPeersFirst() {
    stateMachine.onRead(REVISION_FIVE, 9, START);
    assertThat(stateMachine.onRevisionReported(6, START))
        .containsExactly(new RevisionAction.PullFromPeer(6));
    RevisionStateMachine watcher = new RevisionStateMachine(RevisionOptions.DEFAULT, 1, START);
    watcher.onRole(true, 8, START);
    watcher.onRead(REVISION_FIVE, 9, START);
    assertThat(watcher.onRevisionReported(6, START))
        .containsExactly(new RevisionAction.ReadStore());
  }

  @Test
  void testRestartedInstancesLoadFromPeersWhileStoreIsDown() {
    SimulatedDissemination fleet = new SimulatedDissemination(8, 4, 1);
    fleet.change();
    fleet.run(IN_FORCE_TIME);
    fleet.setStoreDown(true);
    fleet.restart(0);
    fleet.restart(7);
    fleet.run(IN_FORCE_TIME);
    assertThat(fleet.hasConverged()).isTrue();
  }

  @Test
  void testChangeIsInForceEverywhereInTimeAtAllFleetSizes() {
    for (int size : List.of(1, 2, 8, 100, 1_300)) {
      SimulatedDissemination fleet = new SimulatedDissemination(size, Math.min(size, 36), size);
      fleet.run(IN_FORCE_TIME);
      fleet.change();
      fleet.run(IN_FORCE_TIME);
      assertWithMessage("size %s", size).that(fleet.hasConverged()).isTrue();
    }
  }

  @Test
  void testPollingFindsChangeWithoutWatchers() {
    SimulatedDissemination fleet = new SimulatedDissemination(8, 0, 3);
    fleet.run(IN_FORCE_TIME);
    fleet.change();
    fleet.run(Duration.ofSeconds(36).plus(IN_FORCE_TIME));
    assertThat(fleet.hasConverged()).isTrue();
  }

  @Test
  void testRandomFaultsNeverRevertAndFleetConvergesAfterwards() {
    for (int seed = 0; seed < 300; seed++) {
      Random random = new Random(seed);
      SimulatedDissemination fleet =
          new SimulatedDissemination(1 + random.nextInt(20), random.nextInt(6), seed);
      for (int step = 0; step < 40; step++) {
        injectFault(fleet, random);
      }
      fleet.setStoreDown(false);
      fleet.setLoss(0);
      fleet.run(Duration.ofSeconds(36).plus(IN_FORCE_TIME));
      assertWithMessage("seed %s", seed).that(fleet.hasConverged()).isTrue();
    }
  }

  private static void injectFault(SimulatedDissemination fleet, Random random) {
    switch (random.nextInt(5)) {
      case 0 -> fleet.setStoreDown(random.nextBoolean());
      case 1 -> fleet.setLoss(random.nextDouble());
      case 2 -> fleet.restart(random.nextInt(fleet.snapshots().size()));
      default -> fleet.change();
    }
    fleet.run(Duration.ofMillis(random.nextInt(4_000)));
  }
}

package org.chicorylane.internal.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.chicorylane.internal.membership.generated.MemberMessage;
import org.chicorylane.internal.membership.generated.MembershipDatagram;
import org.chicorylane.internal.membership.generated.PingMessage;
import org.junit.jupiter.api.Test;

/**
 * Guards failure detection against missed crashes, live members declared dead, and updates that do
 * not spread. The faults are injected by {@link SimulatedFleet}: crashes, pauses, partitions, and
 * lost or delayed datagrams.
 */
final class MembershipProtocolTest {

  private static final int SIZE = 8;
  private static final Duration CONVERGENCE_TIME = Duration.ofSeconds(20);

  @Test
  void testAllMembersSeeEachOtherAliveWithoutFaults() {
    SimulatedFleet fleet = new SimulatedFleet(SIZE, 1);
    fleet.run(CONVERGENCE_TIME);
    for (String id : fleet.running()) {
      assertThat(fleet.believed(id, MemberStatus.ALIVE)).hasSize(SIZE - 1);
    }
  }

  @Test
  void testCrashIsDetectedByAllWithinTwoSecondsAfterSuspicionTimeout() {
    SimulatedFleet fleet = new SimulatedFleet(SIZE, 2);
    fleet.run(CONVERGENCE_TIME);
    fleet.crash("instance-3");
    fleet.run(Duration.ofSeconds(2).plus(MembershipOptions.DEFAULT.suspicionTimeout(SIZE)));
    assertCrashedBelievedDead(fleet, Set.of("instance-3"), 2);
  }

  @Test
  void testLeavingMemberIsSeenByAllAndExcludedFromCandidates() {
    SimulatedFleet fleet = new SimulatedFleet(SIZE, 3);
    fleet.run(CONVERGENCE_TIME);
    fleet.leave("instance-3");
    fleet.run(Duration.ofSeconds(2));
    for (String id : fleet.running()) {
      if (!id.equals("instance-3")) {
        assertThat(fleet.believed(id, MemberStatus.LEAVING)).containsExactly("instance-3");
        assertThat(Rendezvous.candidates("plans", fleet.protocol(id).members()).toString())
            .doesNotContain("instance-3");
      }
    }
  }

  @Test
  void testRestartedMemberIsAliveWithHigherIncarnation() {
    SimulatedFleet fleet = new SimulatedFleet(SIZE, 4);
    fleet.run(CONVERGENCE_TIME);
    fleet.crash("instance-3");
    fleet.run(CONVERGENCE_TIME);
    fleet.start("instance-3");
    fleet.run(CONVERGENCE_TIME);
    assertThat(fleet.protocol("instance-3").self().incarnation()).isGreaterThan(1);
    assertThat(fleet.believed("instance-0", MemberStatus.ALIVE)).contains("instance-3");
  }

  @Test
  void testPauseLeavesNoMemberBelievedDead() {
    SimulatedFleet fleet = new SimulatedFleet(SIZE, 5);
    fleet.run(CONVERGENCE_TIME);
    fleet.pause("instance-3", Duration.ofSeconds(30));
    fleet.run(Duration.ofSeconds(30));
    fleet.run(Duration.ofMillis(1));
    assertThat(fleet.believed("instance-3", MemberStatus.DEAD)).isEmpty();
    fleet.run(CONVERGENCE_TIME);
    assertThat(fleet.believed("instance-0", MemberStatus.DEAD)).isEmpty();
  }

  @Test
  void testDeadMemberIsRemovedAfterRetention() {
    SimulatedFleet fleet = new SimulatedFleet(3, 6);
    fleet.run(CONVERGENCE_TIME);
    fleet.crash("instance-2");
    fleet.run(MembershipOptions.DEFAULT.forgetAfter().plus(CONVERGENCE_TIME));
    assertThat(fleet.protocol("instance-0").members()).hasSize(1);
  }

  @Test
  void testRevisionReachesAllWithinOneSecond() {
    SimulatedFleet fleet = new SimulatedFleet(SIZE, 7);
    fleet.run(CONVERGENCE_TIME);
    fleet.setRevision("instance-3", 42);
    fleet.run(Duration.ofSeconds(1));
    for (String id : fleet.running()) {
      assertThat(fleet.protocol(id).highestRevisionSeen()).isEqualTo(42);
    }
  }

  @Test
  void testMalformedDatagramsAreDroppedAndCounted() {
    Instant now = Instant.EPOCH;
    Member self = new Member("a", "10.0.0.1", 1, 2, "hall-0", 1, MemberStatus.ALIVE);
    MembershipProtocol protocol = new MembershipProtocol(self, MembershipOptions.DEFAULT, 1, now);
    MemberMessage other =
        MemberMessages.toMessage(self).toBuilder().setInstance("b").setStatus("ALIVE").build();
    PingMessage ping = PingMessage.newBuilder().setSequence(1).build();
    List<MembershipDatagram> malformed =
        List.of(
            MembershipDatagram.getDefaultInstance(),
            MembershipDatagram.newBuilder().setSender(other).build(),
            from(other.toBuilder().setStatus("UNDEAD"), ping),
            from(other.toBuilder().setMembershipPort(0), ping),
            from(other.toBuilder().setRelayPort(70_000), ping),
            from(other.toBuilder().setIncarnation(-1), ping),
            from(other.toBuilder().setInstance("a"), ping));
    for (MembershipDatagram datagram : malformed) {
      assertThat(protocol.onDatagram(datagram, now)).isEmpty();
    }
    assertThat(protocol.droppedDatagrams()).isEqualTo(malformed.size());
    assertThat(protocol.members()).isEmpty();
  }

  @Test
  void testFleetConvergesAfterRandomFaults() {
    for (int seed = 100; seed < 160; seed++) {
      SimulatedFleet fleet = new SimulatedFleet(SIZE + seed % 13, seed);
      final Set<String> crashed = injectFaults(fleet, new Random(seed));
      fleet.partition(Set.of());
      fleet.setNetwork(0.02, Duration.ofMillis(10));
      fleet.run(Duration.ofSeconds(60));
      assertCrashedBelievedDead(fleet, crashed, seed);
      assertAllRunningBelievedLive(fleet, crashed, seed);
    }
  }

  private static Set<String> injectFaults(SimulatedFleet fleet, Random random) {
    Set<String> crashed = new HashSet<>();
    for (int step = 0; step < 30; step++) {
      List<String> running = new ArrayList<>(fleet.running());
      Collections.sort(running);
      String id = running.get(random.nextInt(running.size()));
      switch (random.nextInt(6)) {
        case 0 -> fleet.pause(id, Duration.ofMillis(random.nextInt(5_000)));
        case 1 -> fleet.partition(Set.copyOf(running.subList(0, random.nextInt(running.size()))));
        case 2 -> fleet.partition(Set.of());
        case 3 -> fleet.setNetwork(random.nextDouble() / 2, Duration.ofMillis(200));
        case 4 -> {
          if (crashed.size() < 3) {
            fleet.crash(id);
            crashed.add(id);
          }
        }
        default -> {
          if (!crashed.isEmpty()) {
            String restarted = crashed.iterator().next();
            crashed.remove(restarted);
            fleet.start(restarted);
          }
        }
      }
      fleet.run(Duration.ofMillis(random.nextInt(3_000)));
    }
    return crashed;
  }

  private static void assertCrashedBelievedDead(
      SimulatedFleet fleet, Set<String> crashed, long seed) {
    for (String id : fleet.running()) {
      assertWithMessage("dead as seen by %s, seed %s", id, seed)
          .that(fleet.believed(id, MemberStatus.DEAD))
          .containsExactlyElementsIn(crashed);
    }
  }

  private static void assertAllRunningBelievedLive(
      SimulatedFleet fleet, Set<String> crashed, long seed) {
    for (String id : fleet.running()) {
      Set<String> expected = fleet.running();
      expected.remove(id);
      Set<String> live = fleet.believed(id, MemberStatus.ALIVE);
      live.addAll(fleet.believed(id, MemberStatus.SUSPECT));
      assertWithMessage("live as seen by %s, crashed %s, seed %s", id, crashed, seed)
          .that(live)
          .containsExactlyElementsIn(expected);
    }
  }

  private static MembershipDatagram from(MemberMessage.Builder sender, PingMessage ping) {
    return MembershipDatagram.newBuilder().setSender(sender).setPing(ping).build();
  }
}

package org.chicorylane.internal.membership;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.chicorylane.internal.platform.InstanceList;
import org.chicorylane.internal.platform.ListedInstance;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards the path from the protocol over real UDP sockets to the agent's listeners: members that do
 * not find each other, a status or revision that does not arrive, and a malformed datagram that
 * stops the agent or is not counted.
 */
final class MembershipAgentFunctionalTest {

  private final List<ListedInstance> listed = new CopyOnWriteArrayList<>();
  private final InstanceList list =
      () -> CompletableFuture.completedFuture(new InstanceList.Listed(listed));
  private final MetricRegistry metrics = new MetricRegistry();
  private final MembershipAgent one = start("i1", 1);
  private final MembershipAgent two = start("i2", 2);

  @AfterEach
  void close() {
    one.close();
    two.close();
  }

  @Test
  void testAgentsDiscoverEachOtherAndReceiveRevisionAndLeaving() throws Exception {
    CompletableFuture<Long> revision = new CompletableFuture<>();
    two.addRevisionListener(completeIfPositive(revision));
    await(two, s -> s.liveMembers().size() == 2);
    one.setRevision(5);
    assertThat(revision.get(10, TimeUnit.SECONDS)).isEqualTo(5);
    assertThat(two.revisions()).containsExactly("i1", 5L);
    one.announceLeaving();
    await(two, s -> s.others().get(0).status() == MemberStatus.LEAVING);
    assertThat(two.snapshot().candidates("plans")).containsExactly(two.snapshot().self());
  }

  @Test
  void testClosedAgentIsDeclaredDead() throws Exception {
    await(two, s -> s.liveMembers().size() == 2);
    one.close();
    await(two, s -> s.liveMembers().size() == 1);
  }

  @Test
  void testMalformedDatagramIsDroppedAndCounted() throws Exception {
    byte[] malformed = {1, 2, 3};
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      socket.send(
          new DatagramPacket(
              malformed, malformed.length, InetAddress.getLoopbackAddress(), one.port()));
    }
    CompletableFuture<Long> revision = new CompletableFuture<>();
    one.addRevisionListener(completeIfPositive(revision));
    two.setRevision(5);
    revision.get(10, TimeUnit.SECONDS);
    assertThat(metrics.counter("membership.datagrams.dropped").getCount()).isEqualTo(1);
  }

  private MembershipAgent start(String id, long seed) {
    MembershipAgent agent =
        MembershipAgent.start(
            new MembershipAgent.Identity(id, "127.0.0.1", 0, 7000, "hall-0"),
            MembershipOptions.DEFAULT,
            list,
            InstantSource.system(),
            metrics,
            seed);
    listed.add(new ListedInstance(id, "127.0.0.1", 7000, agent.port(), "hall-0", false));
    return agent;
  }

  private static void await(MembershipAgent agent, Predicate<MembershipSnapshot> condition)
      throws Exception {
    CompletableFuture<MembershipSnapshot> met = new CompletableFuture<>();
    agent.addListener(
        s -> {
          if (condition.test(s)) {
            met.complete(s);
          }
        });
    met.get(10, TimeUnit.SECONDS);
  }

  private static Consumer<Long> completeIfPositive(CompletableFuture<Long> future) {
    return revision -> {
      if (revision > 0) {
        future.complete(revision);
      }
    };
  }
}

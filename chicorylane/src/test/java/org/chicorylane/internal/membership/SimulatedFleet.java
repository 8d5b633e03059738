package org.chicorylane.internal.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.chicorylane.internal.membership.generated.MembershipDatagram;
import org.chicorylane.internal.platform.ListedInstance;

/**
 * Runs the membership protocol of many members in simulated time, over a network that can lose and
 * delay datagrams and can be partitioned. It throws if a member ever sees an incarnation go back.
 */
final class SimulatedFleet {

  private static final int IP_AND_UDP_HEADER_BYTES = 28;
  private static final int ZONES = 3;
  private static final Duration PULL_DURATION = Duration.ofMillis(5);

  private record Event(Instant due, long order, Runnable work) {}

  private static final class Node {
    private final MembershipProtocol protocol;
    private Instant pausedUntil = Instant.EPOCH;
    private final Map<String, Long> believedIncarnations = new HashMap<>();
    private boolean crashed;
    private long revision;
    private int partitionIndex;

    Node(MembershipProtocol protocol) {
      this.protocol = protocol;
    }
  }

  private final Random random;
  private final MembershipOptions options = MembershipOptions.DEFAULT;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::due).thenComparing(Event::order));
  private final Map<String, Node> nodes = new HashMap<>();
  private final List<ListedInstance> listed = new ArrayList<>();
  private long order;
  private double loss;
  private Duration maximumDelay = Duration.ofMillis(4);
  private Instant now = Instant.ofEpochSecond(1_000_000);
  private long sentBytes;

  SimulatedFleet(int size, long seed) {
    random = new Random(seed);
    for (int i = 0; i < size; i++) {
      listed.add(
          new ListedInstance("instance-" + i, "10.0.0.1", 7000, 1 + i, "hall-" + i % ZONES, false));
    }
    listed.forEach(instance -> start(instance.instanceId()));
  }

  void start(String id) {
    ListedInstance instance =
        listed.stream().filter(l -> l.instanceId().equals(id)).findFirst().orElseThrow();
    Member self =
        new Member(
            id,
            instance.host(),
            instance.membershipPort(),
            instance.relayPort(),
            instance.availabilityZone(),
            1,
            MemberStatus.ALIVE);
    Node node = new Node(new MembershipProtocol(self, options, random.nextLong(), now));
    nodes.put(id, node);
    perform(node, node.protocol.onListed(listed, now));
    schedule(now.plusMillis(random.nextInt(1000)), () -> tick(node));
  }

  void setNetwork(double newLoss, Duration newMaximumDelay) {
    loss = newLoss;
    maximumDelay = newMaximumDelay;
  }

  void crash(String id) {
    nodes.get(id).crashed = true;
  }

  void pause(String id, Duration time) {
    nodes.get(id).pausedUntil = now.plus(time);
  }

  void partition(Set<String> firstPartition) {
    nodes.forEach((id, node) -> node.partitionIndex = firstPartition.contains(id) ? 1 : 0);
  }

  void leave(String id) {
    Node node = nodes.get(id);
    perform(node, node.protocol.announceLeaving(now));
  }

  void setRevision(String id, long revision) {
    Node node = nodes.get(id);
    node.revision = revision;
    perform(node, node.protocol.setRevision(revision));
  }

  void run(Duration time) {
    Instant end = now.plus(time);
    while (!events.isEmpty() && !events.peek().due().isAfter(end)) {
      Event event = events.remove();
      now = event.due();
      event.work().run();
    }
    now = end;
  }

  Instant now() {
    return now;
  }

  long sentBytes() {
    return sentBytes;
  }

  Set<String> running() {
    Set<String> running = new HashSet<>();
    nodes.forEach(
        (id, node) -> {
          if (!node.crashed) {
            running.add(id);
          }
        });
    return running;
  }

  /** Returns the ids of the members that {@code id} believes to have {@code status}. */
  Set<String> believed(String id, MemberStatus status) {
    Set<String> ids = new HashSet<>();
    for (Member member : nodes.get(id).protocol.members()) {
      if (member.status() == status) {
        ids.add(member.instanceId());
      }
    }
    return ids;
  }

  MembershipProtocol protocol(String id) {
    return nodes.get(id).protocol;
  }

  private void tick(Node node) {
    if (node.crashed) {
      return;
    }
    if (now.isBefore(node.pausedUntil)) {
      schedule(node.pausedUntil, () -> tick(node));
      return;
    }
    perform(node, node.protocol.onTick(now));
    Instant next = node.protocol.nextTick();
    schedule(next.isAfter(now) ? next : now.plusMillis(1), () -> tick(node));
  }

  private void deliver(Node sender, String target, MembershipDatagram datagram) {
    Node node = nodes.get(target);
    if (node == null || node.crashed || node.partitionIndex != sender.partitionIndex) {
      return;
    }
    if (now.isBefore(node.pausedUntil)) {
      schedule(node.pausedUntil, () -> deliver(sender, target, datagram));
      return;
    }
    perform(node, node.protocol.onDatagram(datagram, now));
  }

  private void perform(Node node, List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send send) {
        send(node, send);
      } else if (action instanceof MembershipAction.Changed changed) {
        checkIncarnation(node, changed.member());
      } else if (action instanceof MembershipAction.Forgotten forgotten) {
        node.believedIncarnations.remove(forgotten.instanceId());
      }
    }
    checkIncarnation(node, node.protocol.self());
    pullIfBehind(node);
  }

  private static void checkIncarnation(Node node, Member member) {
    long before = node.believedIncarnations.getOrDefault(member.instanceId(), member.incarnation());
    if (before > member.incarnation()) {
      throw new AssertionError("incarnation went back: " + member + " after " + before);
    }
    node.believedIncarnations.put(member.instanceId(), member.incarnation());
  }

  private void pullIfBehind(Node node) {
    long newest = node.protocol.highestRevisionSeen();
    if (newest > node.revision) {
      node.revision = newest;
      schedule(now.plus(PULL_DURATION), () -> perform(node, node.protocol.setRevision(newest)));
    }
  }

  private void send(Node sender, MembershipAction.Send send) {
    sentBytes += send.datagram().getSerializedSize() + IP_AND_UDP_HEADER_BYTES;
    if (random.nextDouble() < loss) {
      return;
    }
    long nanos = (long) (random.nextDouble() * maximumDelay.toNanos());
    String target = send.target().instanceId();
    schedule(now.plusNanos(nanos), () -> deliver(sender, target, send.datagram()));
  }

  private void schedule(Instant due, Runnable work) {
    events.add(new Event(due, order++, work));
  }
}

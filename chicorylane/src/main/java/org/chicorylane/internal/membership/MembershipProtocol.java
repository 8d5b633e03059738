package org.chicorylane.internal.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.chicorylane.internal.membership.generated.MembershipDatagram;
import org.chicorylane.internal.membership.generated.PingAckMessage;
import org.chicorylane.internal.membership.generated.PingMessage;
import org.chicorylane.internal.platform.ListedInstance;
import org.jspecify.annotations.Nullable;

/**
 * The state machine of the gossip-based membership protocol SWIM (Das, Gupta, Motivala: "SWIM:
 * Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002). It
 * detects which instances are alive by randomized round-robin probes, indirect probes, suspicion
 * with incarnation numbers, and membership updates piggybacked on the probes.
 *
 * <pre>{@code
 * perform(protocol.onTick(now));
 * perform(protocol.onDatagram(datagram, now));
 * scheduleTickAt(protocol.nextTick());
 * }</pre>
 *
 * <p>It differs from the paper in these points:
 *
 * <ul>
 *   <li>Dead members stay on record for a while and are pinged from time to time, so that both
 *       sides of a healed partition find each other.
 *   <li>A datagram to a member believed suspect or dead always says so, so that the member can
 *       refute it.
 *   <li>A tick that is late by more than the ping timeout cancels the pending probe and extends all
 *       running suspicions by the delay, since the pause was this instance's own.
 *   <li>A new revision of the declarations is immediately pushed to a few members.
 * </ul>
 *
 * <p>Not thread-safe. It reads no clock; the instants that callers pass must not decrease.
 */
public final class MembershipProtocol {

  private static final int PERIODS_PER_DEAD_MEMBER_PING = 5;
  private static final int PUSH_TARGETS = 3;

  // Lower than the incarnation of any running instance, so that the first report about a listed
  // instance replaces its entry from the list.
  private static final long SEED_INCARNATION = 0;

  /** A probe of this instance that has not been answered yet. */
  private static final class Probe {
    private final String target;
    private final long sequence;
    private final Instant timeout;
    private boolean indirect;

    Probe(String target, long sequence, Instant timeout) {
      this.target = target;
      this.sequence = sequence;
      this.timeout = timeout;
    }
  }

  /** A probe that this instance makes on behalf of another member. */
  private record ProxiedProbe(Member requester, long requesterSequence, Instant expiry) {}

  private final MembershipOptions options;
  private final Random random;
  private final Map<String, Peer> peers = new HashMap<>();
  private final Map<String, Peer> suspects = new LinkedHashMap<>();
  private final Map<String, Peer> dead = new LinkedHashMap<>();
  private final List<String> probeOrder = new ArrayList<>();
  private final Map<Long, ProxiedProbe> proxiedProbes = new LinkedHashMap<>();
  private final UpdateQueue updates = new UpdateQueue();
  private Member self;
  private long revision;
  private long highestRevisionSeen;
  private long sequence;
  private long periods;
  private long droppedDatagrams;
  private int probeIndex;
  private Instant nextPeriod;
  private @Nullable Probe probe;
  private List<MembershipAction> actions = new ArrayList<>();

  /**
   * Creates the state machine of one instance.
   *
   * @param self this instance. Its incarnation should exceed that of any earlier run under the same
   *     id; otherwise it is raised once other members report the earlier run.
   * @param seed the seed of all random choices
   * @param now the present time, at which the first probe is due
   */
  public MembershipProtocol(Member self, MembershipOptions options, long seed, Instant now) {
    this.self = self;
    this.options = options;
    this.random = new Random(seed);
    this.nextPeriod = now;
    updates.add(self);
  }

  /** Returns the state of this instance that it announces to others. */
  public Member self() {
    return self;
  }

  /** Returns all other members on record, including dead ones. */
  public List<Member> members() {
    return peers.values().stream().map(Peer::member).toList();
  }

  /** Returns the highest revision of the declarations that any member has reported in force. */
  public long highestRevisionSeen() {
    return highestRevisionSeen;
  }

  /** Returns the number of datagrams dropped as malformed. */
  public long droppedDatagrams() {
    return droppedDatagrams;
  }

  /** Returns when {@link #onTick} must be called next. */
  public Instant nextTick() {
    Instant next = nextPeriod;
    if (probe != null && !probe.indirect) {
      next = earlierOf(next, probe.timeout);
    }
    Duration suspicion = options.suspicionTimeout(fleetSize());
    for (Peer suspect : suspects.values()) {
      next = earlierOf(next, suspect.statusSince().plus(suspicion));
    }
    return next;
  }

  /** Performs the work that is due at {@code now}. */
  public List<MembershipAction> onTick(Instant now) {
    compensateForOwnPause(now);
    if (probe != null && !probe.indirect && !now.isBefore(probe.timeout)) {
      sendIndirectProbes(probe);
    }
    if (!now.isBefore(nextPeriod)) {
      startPeriod(now);
    }
    declareExpiredSuspectsDead(now);
    return takeActions();
  }

  /** Handles a datagram. A malformed one is dropped and counted. */
  public List<MembershipAction> onDatagram(MembershipDatagram datagram, Instant now) {
    Optional<Member> sender = MemberMessages.toMember(datagram.getSender());
    if (sender.isEmpty()
        || sender.get().instanceId().equals(self.instanceId())
        || datagram.getBodyCase() == MembershipDatagram.BodyCase.BODY_NOT_SET) {
      droppedDatagrams++;
      return List.of();
    }
    applyReport(sender.get(), now);
    datagram.getUpdatesList().stream()
        .flatMap(message -> MemberMessages.fromUpdate(message, this::findMember).stream())
        .forEach(member -> applyReport(member, now));
    updateRevision(sender.get().instanceId(), datagram.getRevision());
    if (datagram.hasPing()) {
      onPing(sender.get(), datagram.getPing(), now);
    } else {
      onAck(datagram.getAck().getSequence());
    }
    return takeActions();
  }

  /**
   * Adds the listed instances that are not on record. Members missing from the list are kept, since
   * the list lags behind the fleet.
   */
  public List<MembershipAction> onListed(Collection<ListedInstance> listed, Instant now) {
    for (ListedInstance instance : listed) {
      boolean known =
          peers.containsKey(instance.instanceId())
              || instance.instanceId().equals(self.instanceId());
      if (!known) {
        add(seed(instance), now);
      }
    }
    return takeActions();
  }

  /** Announces that this instance shuts down, and pushes the announcement to a few members. */
  public List<MembershipAction> announceLeaving(Instant now) {
    if (self.status() == MemberStatus.LEAVING) {
      return List.of();
    }
    updateSelf(self.incarnation() + 1, MemberStatus.LEAVING);
    pingRandomMembers();
    return takeActions();
  }

  /**
   * Sets the revision that this instance has in force and pushes a changed one to a few members.
   */
  public List<MembershipAction> setRevision(long newRevision) {
    if (newRevision == revision) {
      return List.of();
    }
    revision = newRevision;
    highestRevisionSeen = Math.max(highestRevisionSeen, newRevision);
    pingRandomMembers();
    return takeActions();
  }

  private int fleetSize() {
    return peers.size() - dead.size() + 1;
  }

  private Optional<Member> findMember(String instanceId) {
    return instanceId.equals(self.instanceId())
        ? Optional.of(self)
        : Optional.ofNullable(peers.get(instanceId)).map(Peer::member);
  }

  private void compensateForOwnPause(Instant now) {
    Duration delay = Duration.between(nextTick(), now);
    if (delay.compareTo(options.pingTimeout(fleetSize())) <= 0) {
      return;
    }
    probe = null;
    suspects.values().forEach(peer -> peer.setStatusSince(peer.statusSince().plus(delay)));
  }

  private void startPeriod(Instant now) {
    if (probe != null) {
      suspect(probe.target, now);
      probe = null;
    }
    nextPeriod = now.plus(options.period(fleetSize()));
    periods++;
    proxiedProbes.values().removeIf(p -> p.expiry().isBefore(now));
    if (periods % PERIODS_PER_DEAD_MEMBER_PING == 0) {
      removeOldDead(now);
      pingRandomDeadMember();
    }
    nextProbeTarget().ifPresent(target -> sendProbe(target, now));
  }

  private Optional<Peer> nextProbeTarget() {
    if (probeIndex >= probeOrder.size()) {
      Collections.shuffle(probeOrder, random);
      probeIndex = 0;
    }
    return probeOrder.isEmpty()
        ? Optional.empty()
        : Optional.ofNullable(peers.get(probeOrder.get(probeIndex++)));
  }

  private void sendProbe(Peer target, Instant now) {
    long number = ++sequence;
    probe =
        new Probe(target.member().instanceId(), number, now.plus(options.pingTimeout(fleetSize())));
    send(target.member(), ping(number));
  }

  private void sendIndirectProbes(Probe unanswered) {
    unanswered.indirect = true;
    Peer target = peers.get(unanswered.target);
    if (target == null) {
      return;
    }
    PingMessage request =
        PingMessage.newBuilder()
            .setSequence(unanswered.sequence)
            .setIndirectTarget(MemberMessages.toMessage(target.member()))
            .build();
    for (Member prober : randomUnsuspectedMembers(options.indirectProbes(), unanswered.target)) {
      send(prober, MembershipDatagram.newBuilder().setPing(request));
    }
  }

  private void onPing(Member sender, PingMessage ping, Instant now) {
    if (!ping.hasIndirectTarget()) {
      send(sender, ack(ping.getSequence()));
      return;
    }
    Optional<Member> target = MemberMessages.toMember(ping.getIndirectTarget());
    if (target.isEmpty()) {
      droppedDatagrams++;
      return;
    }
    long number = ++sequence;
    Instant expiry = now.plus(options.period(fleetSize()));
    proxiedProbes.put(number, new ProxiedProbe(sender, ping.getSequence(), expiry));
    send(target.get(), ping(number));
  }

  private void onAck(long number) {
    if (probe != null && probe.sequence == number) {
      probe = null;
      return;
    }
    ProxiedProbe answered = proxiedProbes.remove(number);
    if (answered != null) {
      send(answered.requester(), ack(answered.requesterSequence()));
    }
  }

  private void applyReport(Member reported, Instant now) {
    if (reported.instanceId().equals(self.instanceId())) {
      refuteIfWrong(reported);
      return;
    }
    Peer peer = peers.get(reported.instanceId());
    if (peer == null) {
      if (reported.status().isLive()) {
        add(reported, now);
        updates.add(reported);
      }
    } else if (reported.supersedes(peer.member())) {
      replace(peer, reported, now);
    }
  }

  private void refuteIfWrong(Member reported) {
    boolean wrong =
        reported.status() != self.status() && reported.incarnation() >= self.incarnation();
    if (wrong || reported.incarnation() > self.incarnation()) {
      updateSelf(reported.incarnation() + 1, self.status());
    }
  }

  private void updateSelf(long incarnation, MemberStatus status) {
    boolean changed = status != self.status();
    self = self.with(incarnation, status);
    updates.add(self);
    if (changed) {
      actions.add(new MembershipAction.Changed(self));
    }
  }

  private void suspect(String instanceId, Instant now) {
    Peer peer = peers.get(instanceId);
    if (peer != null && peer.status().compareTo(MemberStatus.SUSPECT) < 0) {
      Member member = peer.member();
      replace(peer, member.with(member.incarnation(), MemberStatus.SUSPECT), now);
    }
  }

  private void declareExpiredSuspectsDead(Instant now) {
    Duration suspicion = options.suspicionTimeout(fleetSize());
    List<Peer> expired =
        suspects.values().stream()
            .filter(peer -> !now.isBefore(peer.statusSince().plus(suspicion)))
            .toList();
    for (Peer peer : expired) {
      Member member = peer.member();
      replace(peer, member.with(member.incarnation(), MemberStatus.DEAD), now);
    }
  }

  private void removeOldDead(Instant now) {
    List<Peer> expired =
        dead.values().stream()
            .filter(peer -> now.isAfter(peer.statusSince().plus(options.forgetAfter())))
            .toList();
    for (Peer peer : expired) {
      String id = peer.member().instanceId();
      dead.remove(id);
      peers.remove(id);
      updates.remove(id);
      actions.add(new MembershipAction.Forgotten(id));
    }
  }

  private void pingRandomDeadMember() {
    if (!dead.isEmpty()) {
      List<Peer> candidates = List.copyOf(dead.values());
      Peer peer = candidates.get(random.nextInt(candidates.size()));
      send(peer.member(), ping(++sequence));
    }
  }

  private void add(Member member, Instant now) {
    Peer peer = new Peer(member, now);
    peers.put(member.instanceId(), peer);
    index(peer);
    actions.add(new MembershipAction.Changed(member));
  }

  private void replace(Peer peer, Member newer, Instant now) {
    boolean changed = newer.status() != peer.status();
    boolean confirmsSeed = peer.member().incarnation() == SEED_INCARNATION && !changed;
    peer.replace(newer, now);
    if (!confirmsSeed) {
      updates.add(newer);
    }
    if (changed) {
      unindex(newer.instanceId());
      index(peer);
    }
    actions.add(new MembershipAction.Changed(newer));
  }

  private void index(Peer peer) {
    String id = peer.member().instanceId();
    if (peer.status() == MemberStatus.DEAD) {
      dead.put(id, peer);
      removeFromProbeOrder(id);
      return;
    }
    if (peer.status() == MemberStatus.SUSPECT) {
      suspects.put(id, peer);
    }
    if (!probeOrder.contains(id)) {
      probeOrder.add(random.nextInt(probeOrder.size() + 1), id);
    }
  }

  private void unindex(String id) {
    suspects.remove(id);
    dead.remove(id);
  }

  private void removeFromProbeOrder(String id) {
    int index = probeOrder.indexOf(id);
    if (index < 0) {
      return;
    }
    probeOrder.remove(index);
    if (index < probeIndex) {
      probeIndex--;
    }
  }

  private void updateRevision(String instanceId, long reportedRevision) {
    highestRevisionSeen = Math.max(highestRevisionSeen, reportedRevision);
    Peer peer = peers.get(instanceId);
    if (peer != null && peer.updateRevision(reportedRevision)) {
      actions.add(new MembershipAction.RevisionSeen(instanceId, reportedRevision));
    }
  }

  private void pingRandomMembers() {
    for (Member member : randomUnsuspectedMembers(PUSH_TARGETS, self.instanceId())) {
      send(member, ping(++sequence));
    }
  }

  private List<Member> randomUnsuspectedMembers(int count, String excludedId) {
    List<String> shuffled = new ArrayList<>(probeOrder);
    Collections.shuffle(shuffled, random);
    return shuffled.stream()
        .filter(id -> !id.equals(excludedId))
        .flatMap(id -> Stream.ofNullable(peers.get(id)))
        .filter(peer -> peer.status() != MemberStatus.SUSPECT)
        .limit(count)
        .map(Peer::member)
        .toList();
  }

  private void send(Member target, MembershipDatagram.Builder datagram) {
    datagram.setSender(MemberMessages.toMessage(self)).setRevision(revision);
    Peer peer = peers.get(target.instanceId());
    if (peer != null && peer.status().compareTo(MemberStatus.SUSPECT) >= 0) {
      datagram.addUpdates(MemberMessages.toUpdate(peer.member()));
    }
    datagram.addAllUpdates(
        updates.take(options.maximumUpdateBytes(), options.transmissions(fleetSize())));
    actions.add(new MembershipAction.Send(target, datagram.build()));
  }

  private List<MembershipAction> takeActions() {
    List<MembershipAction> taken = actions;
    actions = new ArrayList<>();
    return taken;
  }

  private static MembershipDatagram.Builder ping(long number) {
    return MembershipDatagram.newBuilder().setPing(PingMessage.newBuilder().setSequence(number));
  }

  private static MembershipDatagram.Builder ack(long number) {
    return MembershipDatagram.newBuilder().setAck(PingAckMessage.newBuilder().setSequence(number));
  }

  private static Member seed(ListedInstance instance) {
    return new Member(
        instance.instanceId(),
        instance.host(),
        instance.membershipPort(),
        instance.relayPort(),
        instance.availabilityZone(),
        SEED_INCARNATION,
        MemberStatus.ALIVE);
  }

  private static Instant earlierOf(Instant a, Instant b) {
    return a.isBefore(b) ? a : b;
  }
}

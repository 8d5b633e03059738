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
 * Decides which instances are alive, after SWIM (Das, Gupta, Motivala: "SWIM: Scalable
 * Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002): randomised
 * round-robin probes, indirect probes, suspicion with incarnations, updates that ride on probes.
 *
 * <pre>{@code
 * perform(protocol.onTick(now));
 * perform(protocol.onDatagram(datagram, now));
 * scheduleTickAt(protocol.nextTick());
 * }</pre>
 *
 * <p>It differs from the paper in this: dead members are remembered for a while and contacted now
 * and then, so that both sides of a healed partition find each other; a datagram to a member that
 * is believed suspect or dead always says so, so that it can contradict; a tick that comes late
 * blames nobody, since the pause was this instance's own; a new revision of the declarations is
 * pushed to a few members at once.
 *
 * <p>Not thread-safe: one thread calls it. It has no clock: instants must not decrease.
 */
public final class MembershipProtocol {

  private static final int PERIODS_PER_RECONTACT = 5;
  private static final int REVISION_PUSHES = 3;
  private static final long SEED_INCARNATION = 0;

  /** A probe in flight. */
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

  /** A probe made on another member's behalf. */
  private record ProxiedProbe(Member asker, long askerSequence, Instant expiry) {}

  private final MembershipOptions options;
  private final Random random;
  private final Map<String, Peer> peers = new HashMap<>();
  private final Map<String, Peer> suspects = new LinkedHashMap<>();
  private final Map<String, Peer> dead = new LinkedHashMap<>();
  private final List<String> probeOrder = new ArrayList<>();
  private final Map<Long, ProxiedProbe> proxied = new LinkedHashMap<>();
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
   * Creates the protocol of one instance.
   *
   * @param self the instance; its incarnation must exceed that of any earlier run under the same id
   *     if possible, else it is raised once others object
   * @param seed the seed of all random choices
   * @param now the present time; the first probe is due then
   */
  public MembershipProtocol(Member self, MembershipOptions options, long seed, Instant now) {
    this.self = self;
    this.options = options;
    this.random = new Random(seed);
    this.nextPeriod = now;
    updates.add(self);
  }

  /** Returns this instance as it presents itself. */
  public Member self() {
    return self;
  }

  /** Returns all other members remembered, the dead included. */
  public List<Member> members() {
    return peers.values().stream().map(Peer::member).toList();
  }

  /** Returns the highest revision of the declarations that any member ever had in force. */
  public long highestRevisionSeen() {
    return highestRevisionSeen;
  }

  /** Returns how many datagrams were dropped as malformed. */
  public long droppedDatagrams() {
    return droppedDatagrams;
  }

  /** Returns when {@link #onTick} is due. */
  public Instant nextTick() {
    Instant next = nextPeriod;
    if (probe != null && !probe.indirect) {
      next = earlier(next, probe.timeout);
    }
    Duration suspicion = options.suspicionTime(size());
    for (Peer suspect : suspects.values()) {
      next = earlier(next, suspect.statusSince().plus(suspicion));
    }
    return next;
  }

  /** Does what is due at {@code now}. */
  public List<MembershipAction> onTick(Instant now) {
    forgiveOwnPause(now);
    if (probe != null && !probe.indirect && !now.isBefore(probe.timeout)) {
      sendIndirectProbes(probe);
    }
    if (!now.isBefore(nextPeriod)) {
      startPeriod(now);
    }
    buryExpiredSuspects(now);
    return takeActions();
  }

  /** Handles a datagram; a malformed one is dropped and counted. */
  public List<MembershipAction> onDatagram(MembershipDatagram datagram, Instant now) {
    Optional<Member> sender = MemberMessages.toMember(datagram.getSender());
    if (sender.isEmpty()
        || sender.get().instanceId().equals(self.instanceId())
        || datagram.getBodyCase() == MembershipDatagram.BodyCase.BODY_NOT_SET) {
      droppedDatagrams++;
      return List.of();
    }
    learn(sender.get(), now);
    datagram.getUpdatesList().stream()
        .flatMap(message -> MemberMessages.fromUpdate(message, this::known).stream())
        .forEach(member -> learn(member, now));
    learnRevision(sender.get().instanceId(), datagram.getRevision());
    if (datagram.hasPing()) {
      onPing(sender.get(), datagram.getPing(), now);
    } else {
      onAck(datagram.getAck().getSequence());
    }
    return takeActions();
  }

  /** Adds listed instances that are not known yet; the list lags, so it removes nobody. */
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

  /** Announces that this instance shuts down. */
  public List<MembershipAction> announceLeaving(Instant now) {
    if (self.status() == MemberStatus.LEAVING) {
      return List.of();
    }
    presentSelf(self.incarnation() + 1, MemberStatus.LEAVING);
    pushToSome();
    return takeActions();
  }

  /** Sets the revision that this instance has in force; a newer one is pushed to some members. */
  public List<MembershipAction> setRevision(long newRevision) {
    if (newRevision == revision) {
      return List.of();
    }
    revision = newRevision;
    highestRevisionSeen = Math.max(highestRevisionSeen, newRevision);
    pushToSome();
    return takeActions();
  }

  private int size() {
    return peers.size() - dead.size() + 1;
  }

  private Optional<Member> known(String instanceId) {
    return instanceId.equals(self.instanceId())
        ? Optional.of(self)
        : Optional.ofNullable(peers.get(instanceId)).map(Peer::member);
  }

  private void forgiveOwnPause(Instant now) {
    Duration late = Duration.between(nextTick(), now);
    if (late.compareTo(options.pingTimeout(size())) <= 0) {
      return;
    }
    probe = null;
    suspects.values().forEach(peer -> peer.postponeStatus(peer.statusSince().plus(late)));
  }

  private void startPeriod(Instant now) {
    if (probe != null) {
      suspect(probe.target, now);
      probe = null;
    }
    nextPeriod = now.plus(options.period(size()));
    periods++;
    proxied.values().removeIf(p -> p.expiry().isBefore(now));
    if (periods % PERIODS_PER_RECONTACT == 0) {
      forgetOldDead(now);
      contactOneDead();
    }
    nextTarget().ifPresent(target -> sendProbe(target, now));
  }

  private Optional<Peer> nextTarget() {
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
    probe = new Probe(target.member().instanceId(), number, now.plus(options.pingTimeout(size())));
    send(target.member(), ping(number));
  }

  private void sendIndirectProbes(Probe late) {
    late.indirect = true;
    Peer target = peers.get(late.target);
    if (target == null) {
      return;
    }
    PingMessage request =
        PingMessage.newBuilder()
            .setSequence(late.sequence)
            .setIndirectTarget(MemberMessages.toMessage(target.member()))
            .build();
    for (Member helper : randomLive(options.indirectProbes(), late.target)) {
      send(helper, MembershipDatagram.newBuilder().setPing(request));
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
    Instant expiry = now.plus(options.period(size()));
    proxied.put(number, new ProxiedProbe(sender, ping.getSequence(), expiry));
    send(target.get(), ping(number));
  }

  private void onAck(long number) {
    if (probe != null && probe.sequence == number) {
      probe = null;
      return;
    }
    ProxiedProbe answered = proxied.remove(number);
    if (answered != null) {
      send(answered.asker(), ack(answered.askerSequence()));
    }
  }

  private void learn(Member told, Instant now) {
    if (told.instanceId().equals(self.instanceId())) {
      contradictIfWrong(told);
      return;
    }
    Peer peer = peers.get(told.instanceId());
    if (peer == null) {
      if (told.status().isLive()) {
        add(told, now);
        updates.add(told);
      }
    } else if (told.supersedes(peer.member())) {
      replace(peer, told, now);
    }
  }

  private void contradictIfWrong(Member told) {
    boolean wrong = told.status() != self.status() && told.incarnation() >= self.incarnation();
    if (wrong || told.incarnation() > self.incarnation()) {
      presentSelf(told.incarnation() + 1, self.status());
    }
  }

  private void presentSelf(long incarnation, MemberStatus status) {
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

  private void buryExpiredSuspects(Instant now) {
    Duration suspicion = options.suspicionTime(size());
    List<Peer> expired =
        suspects.values().stream()
            .filter(peer -> !now.isBefore(peer.statusSince().plus(suspicion)))
            .toList();
    for (Peer peer : expired) {
      Member member = peer.member();
      replace(peer, member.with(member.incarnation(), MemberStatus.DEAD), now);
    }
  }

  private void forgetOldDead(Instant now) {
    List<Peer> old =
        dead.values().stream()
            .filter(peer -> now.isAfter(peer.statusSince().plus(options.forgetAfter())))
            .toList();
    for (Peer peer : old) {
      String id = peer.member().instanceId();
      dead.remove(id);
      peers.remove(id);
      updates.remove(id);
      actions.add(new MembershipAction.Forgotten(id));
    }
  }

  private void contactOneDead() {
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

  private void learnRevision(String instanceId, long seen) {
    highestRevisionSeen = Math.max(highestRevisionSeen, seen);
    Peer peer = peers.get(instanceId);
    if (peer != null && peer.updateRevision(seen)) {
      actions.add(new MembershipAction.RevisionSeen(instanceId, seen));
    }
  }

  private void pushToSome() {
    for (Member member : randomLive(REVISION_PUSHES, self.instanceId())) {
      send(member, ping(++sequence));
    }
  }

  private List<Member> randomLive(int count, String except) {
    List<String> shuffled = new ArrayList<>(probeOrder);
    Collections.shuffle(shuffled, random);
    return shuffled.stream()
        .filter(id -> !id.equals(except))
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
        updates.take(options.maximumUpdateBytes(), options.transmissions(size())));
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

  private static Instant earlier(Instant a, Instant b) {
    return a.isBefore(b) ? a : b;
  }
}

package org.chicorylane.internal.membership;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.chicorylane.internal.membership.generated.MembershipDatagram;
import org.chicorylane.internal.platform.InstanceList;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * The membership agent of this instance. It runs {@link MembershipProtocol} over UDP and discovers
 * other members through the platform's instance list.
 *
 * <pre>{@code
 * MembershipAgent agent = MembershipAgent.start(identity, options, list, clock, metrics, seed);
 * agent.addListener(snapshot -> chooseHomes(snapshot));
 * }</pre>
 *
 * <p>Thread-safe. Listeners run on the agent's only thread, one at a time, and must not block. The
 * interval between two reads of the instance list grows with the fleet, so that the rate at which
 * all instances together call the platform stays bounded.
 */
public final class MembershipAgent implements RevisionGossip, AutoCloseable {

  /**
   * The identity and addresses of this instance.
   *
   * @param instanceId unique among instances
   * @param host the IP address that it listens on and at which other instances reach it
   * @param membershipPort the UDP port of the agent; 0 selects a free one
   * @param relayPort the TCP port for requests between instances
   * @param availabilityZone the availability zone that it runs in
   */
  public record Identity(
      String instanceId, String host, int membershipPort, int relayPort, String availabilityZone) {}

  private static final Duration MINIMUM_LIST_INTERVAL = Duration.ofSeconds(10);
  private static final Duration LIST_INTERVAL_PER_MEMBER = Duration.ofMillis(50);
  private static final Duration LIST_INTERVAL_WITHOUT_OTHERS = Duration.ofMillis(500);
  private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(2);

  private final InstanceList list;
  private final InstantSource clock;
  private final Counter droppedDatagrams;
  private final Counter sentDatagrams;
  private final Counter sentBytes;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Channel channel;
  private final MembershipProtocol protocol;
  private final List<Consumer<MembershipSnapshot>> listeners = new ArrayList<>();
  private final List<Consumer<Long>> revisionListeners = new ArrayList<>();
  private final Map<String, Long> revisions = new ConcurrentHashMap<>();
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile MembershipSnapshot snapshot;
  private volatile long highestRevisionSeen;
  private @Nullable ScheduledFuture<?> nextTick;

  private MembershipAgent(
      Identity identity,
      MembershipOptions options,
      InstanceList list,
      InstantSource clock,
      MetricRegistry metrics,
      long seed) {
    this.list = list;
    this.clock = clock;
    droppedDatagrams = metrics.counter("membership.datagrams.dropped");
    sentDatagrams = metrics.counter("membership.datagrams.sent");
    sentBytes = metrics.counter("membership.bytes.sent");
    channel = bind(identity);
    Instant now = clock.instant();
    Member self =
        new Member(
            identity.instanceId(),
            identity.host(),
            ((InetSocketAddress) channel.localAddress()).getPort(),
            identity.relayPort(),
            identity.availabilityZone(),
            now.toEpochMilli(),
            MemberStatus.ALIVE);
    protocol = new MembershipProtocol(self, options, seed, now);
    snapshot = new MembershipSnapshot(self, List.of());
  }

  /**
   * Starts an agent, whose port is bound when this method returns.
   *
   * @param list the platform's list of instances, from which it discovers other members
   * @param clock the clock of the protocol; its time at the start is the first incarnation
   * @param metrics the registry for the counters under {@code membership}
   * @param seed the seed of random choices, which should differ between instances
   */
  public static MembershipAgent start(
      Identity identity,
      MembershipOptions options,
      InstanceList list,
      InstantSource clock,
      MetricRegistry metrics,
      long seed) {
    MembershipAgent agent = new MembershipAgent(identity, options, list, clock, metrics, seed);
    agent.handle(() -> agent.protocol.onTick(clock.instant()));
    agent.execute(agent::refreshList);
    return agent;
  }

  /** Returns the UDP port that the agent is bound to. */
  public int port() {
    return snapshot.self().membershipPort();
  }

  @Override
  public MembershipSnapshot snapshot() {
    return snapshot;
  }

  @Override
  public Map<String, Long> revisions() {
    return Map.copyOf(revisions);
  }

  @Override
  public long highestRevisionSeen() {
    return highestRevisionSeen;
  }

  @Override
  public void addListener(Consumer<MembershipSnapshot> listener) {
    execute(
        () -> {
          listeners.add(listener);
          notifyListener(listener, snapshot);
        });
  }

  @Override
  public void addRevisionListener(Consumer<Long> listener) {
    execute(
        () -> {
          revisionListeners.add(listener);
          notifyListener(listener, highestRevisionSeen);
        });
  }

  @Override
  public void setRevision(long revision) {
    handle(() -> protocol.setRevision(revision));
  }

  /** Announces that this instance shuts down. The agent answers probes until it is closed. */
  public void announceLeaving() {
    handle(() -> protocol.announceLeaving(clock.instant()));
  }

  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    channel.close().awaitUninterruptibly();
    group
        .shutdownGracefully(0, SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .awaitUninterruptibly();
  }

  private Channel bind(Identity identity) {
    return new Bootstrap()
        .group(loop)
        .channel(NioDatagramChannel.class)
        .handler(new DatagramHandler())
        .bind(new InetSocketAddress(identity.host(), identity.membershipPort()))
        .syncUninterruptibly()
        .channel();
  }

  private void refreshList() {
    list.list()
        .thenAccept(
            result -> {
              if (result instanceof InstanceList.Listed listed) {
                handle(() -> protocol.onListed(listed.instances(), clock.instant()));
              }
              execute(() -> schedule(listInterval(), this::refreshList));
            });
  }

  private Duration listInterval() {
    int others = snapshot.others().size();
    if (others == 0) {
      return LIST_INTERVAL_WITHOUT_OTHERS;
    }
    Duration scaled = LIST_INTERVAL_PER_MEMBER.multipliedBy(others);
    return scaled.compareTo(MINIMUM_LIST_INTERVAL) > 0 ? scaled : MINIMUM_LIST_INTERVAL;
  }

  private void handle(Supplier<List<MembershipAction>> event) {
    execute(() -> perform(event.get()));
  }

  private void perform(List<MembershipAction> actions) {
    boolean changed = false;
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send send) {
        send(send);
      } else if (action instanceof MembershipAction.RevisionSeen seen) {
        revisions.put(seen.instanceId(), seen.revision());
      } else if (action instanceof MembershipAction.Forgotten forgotten) {
        revisions.remove(forgotten.instanceId());
        changed = true;
      } else {
        changed = true;
      }
    }
    if (changed) {
      publishSnapshot();
    }
    publishRevision();
    scheduleTick();
  }

  private void publishSnapshot() {
    MembershipSnapshot now = new MembershipSnapshot(protocol.self(), protocol.members());
    snapshot = now;
    listeners.forEach(listener -> notifyListener(listener, now));
  }

  private void publishRevision() {
    long highest = protocol.highestRevisionSeen();
    if (highest > highestRevisionSeen) {
      highestRevisionSeen = highest;
      revisionListeners.forEach(listener -> notifyListener(listener, highest));
    }
  }

  private static <T> void notifyListener(Consumer<T> listener, T event) {
    try {
      listener.accept(event);
    } catch (RuntimeException e) {
      Logger.error(e, "a membership listener failed");
    }
  }

  private void scheduleTick() {
    if (nextTick != null) {
      nextTick.cancel(false);
    }
    Duration wait = Duration.between(clock.instant(), protocol.nextTick());
    nextTick = schedule(wait, () -> perform(protocol.onTick(clock.instant())));
  }

  private void send(MembershipAction.Send send) {
    byte[] bytes = send.datagram().toByteArray();
    InetSocketAddress target =
        new InetSocketAddress(send.target().host(), send.target().membershipPort());
    sentDatagrams.inc();
    sentBytes.inc(bytes.length);
    channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), target));
  }

  private void receive(ByteBuf content) {
    long before = protocol.droppedDatagrams();
    try {
      MembershipDatagram datagram = MembershipDatagram.parseFrom(content.nioBuffer());
      perform(protocol.onDatagram(datagram, clock.instant()));
    } catch (InvalidProtocolBufferException e) {
      droppedDatagrams.inc();
    }
    droppedDatagrams.inc(protocol.droppedDatagrams() - before);
  }

  private void execute(Runnable work) {
    try {
      loop.execute(work);
    } catch (RejectedExecutionException e) {
      Logger.debug("ignored a task because the membership agent is closed");
    }
  }

  private @Nullable ScheduledFuture<?> schedule(Duration delay, Runnable work) {
    try {
      return loop.schedule(work, Math.max(0, delay.toMillis()), TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      return null;
    }
  }

  private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      receive(packet.content());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.debug("receiving a membership datagram failed: {}", cause);
    }
  }
}

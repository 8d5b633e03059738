package org.chicorylane.standin.platform;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The platform in one object: the key-value service with etcd v3's JSON mapping and the instance
 * list as an EndpointSlice, on one loopback port, with faults that tests set.
 *
 * <pre>{@code
 * try (StandInPlatform platform = StandInPlatform.builder().seed(7).start()) {
 *   platform.register(new PlatformInstance("i1", "127.0.0.1", 7001, 7002, "hall-liben"));
 *   connectTo(platform.port());
 * }
 * }</pre>
 *
 * <p>Thread-safe. Listens on 127.0.0.1 only.
 */
public final class StandInPlatform implements AutoCloseable {

  private static final int MAX_REQUEST_BYTES = 4 * KeyValueEngine.MAX_VALUE_BYTES;
  private static final Duration LEASE_CHECK_INTERVAL = Duration.ofMillis(100);
  private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(2);

  /** Collects what a stand-in needs before it starts. */
  public static final class Builder {

    private int port;
    private long seed;
    private InstantSource clock = InstantSource.system();

    private Builder() {}

    /** Sets the TCP port; 0, the default, takes a free one. */
    public Builder port(int newPort) {
      port = newPort;
      return this;
    }

    /** Sets the seed of the answers that are lost by chance. */
    public Builder seed(long newSeed) {
      seed = newSeed;
      return this;
    }

    /** Sets the clock of leases and of the list's lag. */
    public Builder clock(InstantSource newClock) {
      clock = newClock;
      return this;
    }

    /** Starts the stand-in; it listens when this returns. */
    public StandInPlatform start() {
      return new StandInPlatform(this);
    }
  }

  private final KeyValueEngine engine;
  private final InstanceDirectory directory;
  private final PlatformFaults faults;
  private final CallCounts counts = new CallCounts();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Channel server;
  private final AtomicBoolean closed = new AtomicBoolean();

  private StandInPlatform(Builder builder) {
    engine = new KeyValueEngine(builder.clock);
    directory = new InstanceDirectory(builder.clock);
    faults = new PlatformFaults(builder.seed);
    faults.onDown(this::resetConnections);
    faults.onSilence(this::silenceConnections);
    server = bind(builder.port);
    long interval = LEASE_CHECK_INTERVAL.toMillis();
    group.scheduleAtFixedRate(engine::expireLeases, interval, interval, TimeUnit.MILLISECONDS);
  }

  /** Returns a builder with a free port and the system clock. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the TCP port that it listens on. */
  public int port() {
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Returns the faults, to be set. */
  public PlatformFaults faults() {
    return faults;
  }

  /** Returns the number of calls so far. */
  public CallCounts counts() {
    return counts;
  }

  /** Returns the state of the key-value service, to look into or to compact. */
  public KeyValueEngine engine() {
    return engine;
  }

  /** Sets the time after which changes of the instance list show. */
  public void setListLag(Duration lag) {
    directory.setLag(lag);
  }

  /** Puts an instance on the list. */
  public void register(PlatformInstance instance) {
    directory.register(instance);
  }

  /** Marks an instance on the list as leaving. */
  public void markLeaving(String id) {
    directory.markLeaving(id);
  }

  /** Takes an instance off the list. */
  public void remove(String id) {
    directory.remove(id);
  }

  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    server.close().syncUninterruptibly();
    connections.close().awaitUninterruptibly();
    group
        .shutdownGracefully(0, SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .awaitUninterruptibly();
  }

  private Channel bind(int port) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                accept(channel);
              }
            })
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
        .syncUninterruptibly()
        .channel();
  }

  private void accept(SocketChannel channel) {
    connections.add(channel);
    if (faults.isDown()) {
      reset(channel);
      return;
    }
    channel
        .pipeline()
        .addLast(new HttpServerCodec())
        .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
        .addLast(new PlatformHandler(engine, directory, faults, counts));
  }

  private void resetConnections() {
    connections.forEach(StandInPlatform::reset);
  }

  private void silenceConnections() {
    connections.forEach(channel -> channel.pipeline().addFirst(new SilentHandler()));
  }

  private static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }
}

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
 * A test double for the platform on one loopback port: the key-value service with etcd v3's JSON
 * mapping, the instance list as a Kubernetes EndpointSlice, and fault injection.
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

  /** Builds and starts a {@link StandInPlatform}. */
  public static final class Builder {

    private int port;
    private long seed;
    private InstantSource clock = InstantSource.system();

    private Builder() {}

    /** Sets the TCP port; 0, the default, selects a free port. */
    public Builder port(int newPort) {
      port = newPort;
      return this;
    }

    /** Sets the random seed of {@link PlatformFaults#loseAnswers}; the default is 0. */
    public Builder seed(long newSeed) {
      seed = newSeed;
      return this;
    }

    /** Sets the clock for leases and the lag of the instance list; the default is the system's. */
    public Builder clock(InstantSource newClock) {
      clock = newClock;
      return this;
    }

    /** Starts the stand-in, which accepts connections once this method returns. */
    public StandInPlatform start() {
      return new StandInPlatform(this);
    }
  }

  private final KeyValueEngine engine;
  private final InstanceDirectory directory;
  private final PlatformFaults faults;
  private final CallCounts counts = new CallCounts();
  private final EventLoopGroup eventLoop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Channel serverChannel;
  private final AtomicBoolean closed = new AtomicBoolean();

  private StandInPlatform(Builder builder) {
    engine = new KeyValueEngine(builder.clock);
    directory = new InstanceDirectory(builder.clock);
    faults = new PlatformFaults(builder.seed);
    faults.onDown(this::resetConnections);
    faults.onSilence(this::silenceConnections);
    serverChannel = bind(builder.port);
    long interval = LEASE_CHECK_INTERVAL.toMillis();
    eventLoop.scheduleAtFixedRate(engine::expireLeases, interval, interval, TimeUnit.MILLISECONDS);
  }

  /** Returns a builder that uses a free port and the system clock by default. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the TCP port that the stand-in listens on. */
  public int port() {
    return ((InetSocketAddress) serverChannel.localAddress()).getPort();
  }

  /** Returns the fault injection of this stand-in. */
  public PlatformFaults faults() {
    return faults;
  }

  /** Returns the counters of received calls. */
  public CallCounts counts() {
    return counts;
  }

  /** Returns the state of the key-value service, which tests may inspect or compact. */
  public KeyValueEngine engine() {
    return engine;
  }

  /** Sets the time after which later changes of the instance list become visible. */
  public void setListLag(Duration lag) {
    directory.setLag(lag);
  }

  /** Adds an instance to the instance list, or replaces the one with the same id. */
  public void register(PlatformInstance instance) {
    directory.register(instance);
  }

  /** Marks an instance as terminating; has no effect if the list does not contain it. */
  public void markLeaving(String id) {
    directory.markLeaving(id);
  }

  /** Removes an instance from the instance list. */
  public void remove(String id) {
    directory.remove(id);
  }

  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    serverChannel.close().syncUninterruptibly();
    connections.close().awaitUninterruptibly();
    eventLoop
        .shutdownGracefully(0, SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .awaitUninterruptibly();
  }

  private Channel bind(int port) {
    return new ServerBootstrap()
        .group(eventLoop)
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

  /** Closes {@code channel} with a TCP reset, which a linger time of 0 causes. */
  private static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }
}

package org.chicorylane.bench.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;

/**
 * Forwards TCP connections from a loopback port to another one, and breaks or delays them. The
 * connections are confined to one event loop, which several proxies may share.
 */
final class LinkProxy implements AutoCloseable {

  /** The directions of a connection. */
  enum Direction {
    TO_TARGET,
    FROM_TARGET
  }

  /** The longest wait for the port when listening starts again. */
  private static final long PORT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final long PORT_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final EventLoop loop;
  private final int port;
  private final InetSocketAddress target;
  private final Set<Connection> connections = new HashSet<>();
  private final Set<Direction> cut = new HashSet<>();
  private @Nullable Channel listener;
  private long delayMillis;

  /** Time until which the link was disturbed last; 0 if it never was. */
  private volatile long disturbedUntilNanos;

  private volatile boolean disturbed;

  /**
   * Creates a proxy and starts to listen.
   *
   * @param port the port to listen on, which {@code LoopbackPorts} has reserved
   * @param targetAddress host and port to which connections are forwarded
   */
  LinkProxy(EventLoop loop, int port, String targetAddress) {
    this.loop = loop;
    this.port = port;
    int colon = targetAddress.indexOf(':');
    this.target =
        new InetSocketAddress(
            InetAddress.getLoopbackAddress(), Integer.parseInt(targetAddress.substring(colon + 1)));
    setListening(true);
  }

  /** Returns host and port, separated by a colon. */
  String address() {
    return "127.0.0.1:" + port;
  }

  /** Sets whether new connections are accepted; if not, they are refused. */
  synchronized void setListening(boolean listens) {
    Channel open = listener;
    if (listens && open == null) {
      listener = listen();
    } else if (!listens && open != null) {
      open.close().syncUninterruptibly();
      listener = null;
    }
  }

  /** Listens once no process that is being started holds the previous listener any more. */
  private Channel listen() {
    long end = System.nanoTime() + PORT_NANOS;
    ChannelFuture bound = bind();
    while (!bound.isSuccess()) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("cannot listen on port " + port, bound.cause());
      }
      LockSupport.parkNanos(PORT_RETRY_NANOS);
      bound = bind();
    }
    return bound.channel();
  }

  private ChannelFuture bind() {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.AUTO_READ, false)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(initializer(channel -> new Connection().start(channel)))
        .bind(InetAddress.getLoopbackAddress(), port)
        .awaitUninterruptibly();
  }

  /** Delays all bytes that arrive from now on, in both directions. */
  void setDelay(long newDelayMillis) {
    loop.execute(
        () -> {
          delayMillis = newDelayMillis;
          noteDisturbance();
        });
  }

  /** Returns whether the link was cut or delayed at some time in the last {@code millis}. */
  boolean wasDisturbedWithin(long millis) {
    long sinceNanos = System.nanoTime() - disturbedUntilNanos;
    return disturbed
        || (disturbedUntilNanos != 0 && sinceNanos < TimeUnit.MILLISECONDS.toNanos(millis));
  }

  private void noteDisturbance() {
    disturbed = delayMillis > 0 || !cut.isEmpty();
    disturbedUntilNanos = System.nanoTime();
  }

  /**
   * Cuts or restores a direction. Bytes on open connections wait until it is restored, and so do
   * new connections.
   */
  void setCut(Direction direction, boolean isCut) {
    loop.execute(
        () -> {
          if (isCut) {
            cut.add(direction);
          } else {
            cut.remove(direction);
          }
          noteDisturbance();
          connections.forEach(Connection::applyReads);
        });
  }

  /** Makes a share of the open connections silent for good, without closing them. */
  void silence(double share, Random random) {
    long seed = random.nextLong();
    loop.execute(
        () -> {
          Random drawn = new Random(seed);
          for (Connection c : connections) {
            c.silent = c.silent || drawn.nextDouble() < share;
            c.applyReads();
          }
        });
  }

  @Override
  public void close() {
    setListening(false);
    loop.submit(() -> List.copyOf(connections).forEach(Connection::end)).syncUninterruptibly();
  }

  private interface Initialization {
    void apply(SocketChannel channel);
  }

  private static ChannelInitializer<SocketChannel> initializer(Initialization initialization) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        initialization.apply(channel);
      }
    };
  }

  /** A connection from a client and the one to the target that belongs to it. */
  private final class Connection {
    private @Nullable Channel client;
    private @Nullable Channel server;
    private boolean silent;

    void start(Channel accepted) {
      client = accepted;
      connections.add(this);
      new Bootstrap()
          .group(loop)
          .channel(NioSocketChannel.class)
          .option(ChannelOption.AUTO_READ, false)
          .option(ChannelOption.TCP_NODELAY, true)
          .handler(
              initializer(
                  channel -> {
                    server = channel;
                    channel.pipeline().addLast(new Forwarder(this, accepted));
                    accepted.pipeline().addLast(new Forwarder(this, channel));
                  }))
          .connect(target)
          .addListener(
              future -> {
                if (future.isSuccess()) {
                  applyReads();
                } else {
                  end();
                }
              });
    }

    /** Reads from both sides, except in directions that are cut. */
    void applyReads() {
      setReads(client, Direction.TO_TARGET);
      setReads(server, Direction.FROM_TARGET);
    }

    private void setReads(@Nullable Channel channel, Direction direction) {
      if (channel != null && channel.isActive()) {
        channel.config().setAutoRead(!silent && !cut.contains(direction));
      }
    }

    void end() {
      connections.remove(this);
      if (client != null) {
        client.close();
      }
      if (server != null) {
        server.close();
      }
    }
  }

  /** Forwards what one side sends to the other side, in order and with the present delay. */
  private final class Forwarder extends ChannelInboundHandlerAdapter {
    private final Connection connection;
    private final Channel destination;
    private long lastDueNanos;

    Forwarder(Connection connection, Channel destination) {
      this.connection = connection;
      this.destination = destination;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
      afterDelay(() -> destination.writeAndFlush(bytes));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (!connection.silent) {
        afterDelay(connection::end);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }

    private void afterDelay(Runnable action) {
      long now = System.nanoTime();
      long due = Math.max(lastDueNanos, now + TimeUnit.MILLISECONDS.toNanos(delayMillis));
      lastDueNanos = due;
      if (due <= now) {
        action.run();
      } else {
        loop.schedule(action, due - now, TimeUnit.NANOSECONDS);
      }
    }
  }
}

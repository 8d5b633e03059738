package org.chicorylane.standin.database;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;

/**
 * The port of one server and the connections that came in through it.
 *
 * <p>Thread-safe.
 */
final class Listener {

  private static final String HOST = "127.0.0.1";
  private static final int BIND_ATTEMPTS = 500;
  private static final Duration BIND_RETRY_INTERVAL = Duration.ofMillis(10);

  private final ServerCore server;
  private final EventLoopGroup loops;
  private final Map<Channel, ConnectionHandler> connections = new ConcurrentHashMap<>();
  private final Set<String> isolatedLabels = ConcurrentHashMap.newKeySet();
  private @Nullable Channel channel;
  private int port;

  Listener(ServerCore server, EventLoopGroup loops, int port) {
    this.server = server;
    this.loops = loops;
    this.port = port;
  }

  /** Binds the port, the same one as before if there was one. */
  synchronized void open() {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel child) {
                    child.pipeline().addLast(new FrontendDecoder(), new ConnectionHandler(child));
                  }
                });
    Channel bound = bind(bootstrap);
    channel = bound;
    port = ((InetSocketAddress) bound.localAddress()).getPort();
  }

  /** Binds, again if the port's last socket is still being closed. */
  private Channel bind(ServerBootstrap bootstrap) {
    ChannelFuture bound = bootstrap.bind(HOST, port).awaitUninterruptibly();
    for (int i = 1; !bound.isSuccess() && port != 0 && i < BIND_ATTEMPTS; i++) {
      LockSupport.parkNanos(BIND_RETRY_INTERVAL.toNanos());
      bound = bootstrap.bind(HOST, port).awaitUninterruptibly();
    }
    return bound.syncUninterruptibly().channel();
  }

  synchronized int port() {
    return port;
  }

  /** Refuses new connections. */
  synchronized void close() {
    Channel open = channel;
    channel = null;
    if (open != null) {
      open.close().syncUninterruptibly();
    }
  }

  List<Link> links() {
    return connections.values().stream().map(c -> c.link).toList();
  }

  /** Closes all sockets, those of silenced links included. */
  void closeAll() {
    connections.keySet().forEach(Channel::close);
  }

  /** Holds or releases the connections as the server's freeze and isolation demand. */
  void applyHolds() {
    connections.values().forEach(ConnectionHandler::applyHolds);
  }

  /** Holds the traffic of callers whose application name starts with {@code label}. */
  void isolate(String label) {
    isolatedLabels.add(label);
    applyHolds();
  }

  /** Ends all isolation of callers. */
  void endIsolation() {
    isolatedLabels.clear();
    applyHolds();
  }

  /** Hands what one connection sends to its session. */
  private final class ConnectionHandler extends SimpleChannelInboundHandler<FrontendMessage> {

    private final Link link;
    private final Session session;
    private final Queue<FrontendMessage> heldMessages = new ArrayDeque<>();
    private volatile @Nullable String startupLabel;
    private boolean held;

    ConnectionHandler(Channel child) {
      link = new Link(child);
      session = new Session(server, link);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      connections.put(ctx.channel(), this);
      if (!server.running()) {
        link.reset();
      }
      applyHolds();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FrontendMessage message) {
      if (message instanceof FrontendMessage.CancelRequest cancel) {
        server.sessions().cancel(cancel.pid(), cancel.secret());
        ctx.close();
        return;
      }
      if (message instanceof FrontendMessage.Startup startup) {
        String name = startup.parameters().get(SessionSettings.APPLICATION_NAME);
        startupLabel = name == null ? "" : name;
        applyHolds();
      }
      deliver(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      connections.remove(ctx.channel());
      deliver(new FrontendMessage.Disconnected());
    }

    private synchronized void deliver(FrontendMessage message) {
      if (link.silenced()) {
        return;
      }
      if (held) {
        heldMessages.add(message);
      } else {
        session.accept(message);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }

    synchronized void applyHolds() {
      boolean wanted = server.gate().frozen() || isolated();
      if (wanted && !held) {
        link.hold();
      } else if (!wanted && held) {
        heldMessages.forEach(session::accept);
        heldMessages.clear();
        link.release();
      }
      held = wanted;
    }

    private boolean isolated() {
      String label = session.activity().applicationName();
      String current = label.isEmpty() ? startupLabel : label;
      return isolatedLabels.stream()
          .anyMatch(l -> l.isEmpty() || (current != null && current.startsWith(l)));
    }
  }
}

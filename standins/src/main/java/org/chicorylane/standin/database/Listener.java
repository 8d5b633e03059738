package org.chicorylane.standin.database;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * The port of one server and the connections that came in through it.
 *
 * <p>Thread-safe.
 */
final class Listener {

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
    Channel bound = bootstrap.bind("127.0.0.1", port).syncUninterruptibly().channel();
    channel = bound;
    port = ((InetSocketAddress) bound.localAddress()).getPort();
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

  /** Holds the traffic of callers whose application name starts with {@code label}. */
  void isolate(String label) {
    isolatedLabels.add(label);
    connections.values().forEach(ConnectionHandler::applyIsolation);
  }

  /** Ends all isolation of callers. */
  void endIsolation() {
    isolatedLabels.clear();
    connections.values().forEach(ConnectionHandler::applyIsolation);
  }

  /** Hands what one connection sends to its session. */
  private final class ConnectionHandler extends SimpleChannelInboundHandler<FrontendMessage> {

    private final Link link;
    private final Session session;
    private @Nullable String label;
    private boolean isolated;

    ConnectionHandler(Channel child) {
      link = new Link(child);
      session = new Session(server, link);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      connections.put(ctx.channel(), this);
      if (server.gate().frozen()) {
        link.hold();
      }
      applyIsolation();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FrontendMessage message) {
      if (link.silenced()) {
        return;
      }
      if (message instanceof FrontendMessage.CancelRequest cancel) {
        server.sessions().cancel(cancel.pid(), cancel.secret());
        ctx.close();
        return;
      }
      if (message instanceof FrontendMessage.Startup startup) {
        String name = startup.parameters().get(SessionSettings.APPLICATION_NAME);
        synchronized (this) {
          label = name == null ? "" : name;
        }
        applyIsolation();
      }
      session.accept(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      connections.remove(ctx.channel());
      if (!link.silenced()) {
        session.accept(new FrontendMessage.Disconnected());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }

    synchronized void applyIsolation() {
      String name = label;
      boolean wanted =
          isolatedLabels.stream()
              .anyMatch(l -> l.isEmpty() || (name != null && name.startsWith(l)));
      if (wanted && !isolated) {
        link.hold();
      } else if (!wanted && isolated) {
        link.release();
      }
      isolated = wanted;
    }
  }
}

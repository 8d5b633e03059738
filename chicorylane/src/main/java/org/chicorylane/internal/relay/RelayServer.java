package org.chicorylane.internal.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import org.chicorylane.internal.relay.generated.ProbeAnswerMessage;
import org.chicorylane.internal.relay.generated.RelayFrame;
import org.chicorylane.internal.relay.generated.RequestMessage;
import org.tinylog.Logger;

/**
 * Accepts relay connections from other instances and answers their questions.
 *
 * <pre>{@code
 * RelayServer server = RelayServer.start(group, address, handler, clock);
 * int port = server.port();
 * server.close();
 * }</pre>
 *
 * <p>Answers are sent as soon as they are ready, in any order; each carries the id of its question.
 * Thread-safe.
 */
public final class RelayServer implements AutoCloseable {
  private final Channel channel;
  private final ChannelGroup connections;

  private RelayServer(Channel channel, ChannelGroup connections) {
    this.channel = channel;
    this.connections = connections;
  }

  /**
   * Binds the address and starts to accept connections.
   *
   * @param loops the event loops to run on; not shut down by {@link #close()}
   * @param address the address to bind; port 0 selects a free port
   * @param handler answers the questions
   * @param clock gives the time from which requests' deadlines are counted
   */
  public static RelayServer start(
      EventLoopGroup loops, InetSocketAddress address, RelayHandler handler, InstantSource clock) {
    ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    connections.add(ch);
                    RelayPipeline.addCodecs(ch.pipeline());
                    ch.pipeline().addLast(new ServerHandler(handler, clock));
                  }
                });
    Channel bound = bootstrap.bind(address).syncUninterruptibly().channel();
    return new RelayServer(bound, connections);
  }

  /** Returns the bound port. */
  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /** Stops listening and closes every connection. */
  @Override
  public void close() {
    channel.close().syncUninterruptibly();
    connections.close().awaitUninterruptibly();
  }

  /** Answers the questions of one connection. */
  private static final class ServerHandler extends SimpleChannelInboundHandler<RelayFrame> {
    private final RelayHandler handler;
    private final InstantSource clock;

    ServerHandler(RelayHandler handler, InstantSource clock) {
      this.handler = handler;
      this.clock = clock;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, RelayFrame frame) {
      RelayFrame.Builder answer = RelayFrame.newBuilder().setId(frame.getId());
      switch (frame.getBodyCase()) {
        case REQUEST -> answerRequest(ctx, frame.getRequest(), answer);
        case PROBE ->
            handler
                .onProbe(frame.getProbe().getGroup(), frame.getProbe().getServer())
                .thenAccept(result -> send(ctx, answer.setProbeAnswer(toMessage(result)).build()));
        case PULL -> {
          long revision = frame.getPull().getRevision();
          send(ctx, answer.setDeclarations(handler.onPull(revision)).build());
        }
        case TAKE_HOME -> {
          handler.onTakeHome(frame.getTakeHome().getGroup());
          send(ctx, answer.setTaken(true).build());
        }
        case PING -> send(ctx, answer.setPong(true).build());
        default -> {
          Logger.warn(
              "closing relay connection: frame {} from {} is not a question",
              frame.getId(),
              ctx.channel());
          ctx.close();
        }
      }
    }

    private void answerRequest(
        ChannelHandlerContext ctx, RequestMessage message, RelayFrame.Builder answer) {
      GroupRequest request = RelayCodec.toRequest(message, clock.instant());
      handler
          .onRequest(request)
          .thenAccept(
              outcome -> send(ctx, answer.setOutcome(RelayCodec.outcomeMessage(outcome)).build()));
    }

    private static void send(ChannelHandlerContext ctx, RelayFrame frame) {
      ctx.channel().writeAndFlush(frame, ctx.voidPromise());
    }

    private static ProbeAnswerMessage toMessage(ProbeResult result) {
      return ProbeAnswerMessage.newBuilder()
          .setReachable(result.reachable())
          .setTerm(result.term())
          .build();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      Logger.warn(
          "closing relay connection {} after an error: {}", ctx.channel(), cause.toString());
      ctx.close();
    }
  }
}

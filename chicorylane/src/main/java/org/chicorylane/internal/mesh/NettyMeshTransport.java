package org.chicorylane.internal.mesh;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import org.chicorylane.internal.mesh.generated.MeshFrame;
import org.chicorylane.internal.runtime.Addresses;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.KeepAlive;
import org.jspecify.annotations.Nullable;

/** A mesh transport over TCP, with length-prefixed protobuf messages. */
public final class NettyMeshTransport implements MeshTransport {

  /** Longer than a round trip between regions and shorter than clients wait for an answer. */
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  private final EventLoopGroup group;
  private final DecisionLog log;

  /**
   * Creates a transport.
   *
   * @param group runs all connections; must have exactly one thread
   * @param log receives a line for each connection that is closed because of an error on it
   */
  public NettyMeshTransport(EventLoopGroup group, DecisionLog log) {
    this.group = group;
    this.log = log;
  }

  @Override
  public void connect(String address, Listener listener) {
    InetSocketAddress target;
    try {
      target = Addresses.parse(address);
    } catch (IllegalArgumentException e) {
      log.event(DecisionLog.Priority.BELIEF, "instance-address-unreadable")
          .with("problem", e.getMessage())
          .write();
      group.next().execute(() -> listener.onFailure(false));
      return;
    }
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                addCodec(channel);
                channel.pipeline().addLast(new OpenedHandler(listener, log));
              }
            })
        .connect(target)
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                listener.onFailure(
                    future.cause() instanceof ConnectException refused
                        && !(refused instanceof io.netty.channel.ConnectTimeoutException));
              }
            });
  }

  /**
   * Accepts connections from other instances and reports their frames to {@code acceptor}.
   *
   * @param address host and port to bind
   * @return the bound channel
   */
  public Channel listen(String address, MeshAcceptor acceptor) throws InterruptedException {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, 1024)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                addCodec(channel);
                channel.pipeline().addLast(new AcceptedHandler(acceptor, log));
              }
            })
        .bind(Addresses.parse(address))
        .sync()
        .channel();
  }

  private static void addCodec(SocketChannel channel) {
    KeepAlive.enable(channel);
    channel
        .pipeline()
        .addLast(new ProtobufVarint32FrameDecoder())
        .addLast(new ProtobufDecoder(MeshFrame.getDefaultInstance()))
        .addLast(new ProtobufVarint32LengthFieldPrepender())
        .addLast(new ProtobufEncoder());
  }

  /** Receives the events of all accepted connections. */
  public interface MeshAcceptor {
    /** Called when a frame was received over {@code channel}. */
    void onFrame(MeshChannel channel, MeshFrame frame);

    /** Called when a connection that had sent a frame was closed. */
    void onClosed(MeshChannel channel);
  }

  private record NettyChannel(Channel channel) implements MeshChannel {
    @Override
    public void send(MeshFrame frame) {
      channel.writeAndFlush(frame, channel.voidPromise());
    }

    @Override
    public void close() {
      channel.close();
    }
  }

  /** Logs an error on a connection, such as an unreadable frame, and closes the connection. */
  private static void closeAfterError(
      ChannelHandlerContext context, DecisionLog log, Throwable cause) {
    log.event(DecisionLog.Priority.BELIEF, "instance-connection-failed")
        .with("peer", context.channel().remoteAddress())
        .with("error", cause)
        .write();
    context.close();
  }

  /** Handles a connection on the side that opened it. */
  private static final class OpenedHandler extends SimpleChannelInboundHandler<MeshFrame> {
    private final DecisionLog log;
    private final Listener listener;

    OpenedHandler(Listener listener, DecisionLog log) {
      this.log = log;
      this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      listener.onOpen(new NettyChannel(context.channel()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, MeshFrame frame) {
      listener.onFrame(frame);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      listener.onClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      closeAfterError(context, log, cause);
    }
  }

  /** Handles a connection on the side that accepted it. */
  private static final class AcceptedHandler extends SimpleChannelInboundHandler<MeshFrame> {
    private final DecisionLog log;
    private final MeshAcceptor acceptor;
    private @Nullable MeshChannel channel;

    AcceptedHandler(MeshAcceptor acceptor, DecisionLog log) {
      this.log = log;
      this.acceptor = acceptor;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, MeshFrame frame) {
      MeshChannel c = channel == null ? new NettyChannel(context.channel()) : channel;
      channel = c;
      acceptor.onFrame(c, frame);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (channel != null) {
        acceptor.onClosed(channel);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      closeAfterError(context, log, cause);
    }
  }
}

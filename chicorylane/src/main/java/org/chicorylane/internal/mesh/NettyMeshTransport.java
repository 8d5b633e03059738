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
import org.chicorylane.internal.mesh.generated.MeshFrame;
import org.chicorylane.internal.runtime.Addresses;
import org.chicorylane.internal.runtime.KeepAlive;
import org.jspecify.annotations.Nullable;

/** Connections between instances over TCP with protobuf messages. */
public final class NettyMeshTransport implements MeshTransport {

  /** Longer than a round trip between regions and shorter than a client's patience. */
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  private final EventLoopGroup group;

  /** Creates a transport whose connections are served by {@code group}, one thread. */
  public NettyMeshTransport(EventLoopGroup group) {
    this.group = group;
  }

  @Override
  public void connect(String address, Listener listener) {
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
                channel.pipeline().addLast(new FrameHandler(listener));
              }
            })
        .connect(Addresses.parse(address))
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                listener.onFailure(
                    future.cause() instanceof ConnectException refused
                        && !(refused instanceof io.netty.channel.ConnectTimeoutException));
              }
            });
  }

  /** Listens for other instances' connections; each is told to {@code listener}. */
  public Channel listen(String address, MeshAcceptor listener) throws InterruptedException {
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
                channel.pipeline().addLast(new AcceptedHandler(listener));
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

  /** Accepts connections of other instances. */
  public interface MeshAcceptor {
    /** A frame came over {@code channel}. */
    void onFrame(MeshChannel channel, MeshFrame frame);

    /** The connection ended. */
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

  /** The side that opened the connection. */
  private static final class FrameHandler extends SimpleChannelInboundHandler<MeshFrame> {
    private final Listener listener;

    FrameHandler(Listener listener) {
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
      context.close();
    }
  }

  /** The side that accepted the connection. */
  private static final class AcceptedHandler extends SimpleChannelInboundHandler<MeshFrame> {
    private final MeshAcceptor acceptor;
    private @Nullable MeshChannel channel;

    AcceptedHandler(MeshAcceptor acceptor) {
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
      context.close();
    }
  }
}

package org.chicorylane.internal.caller;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2GoAwayFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import io.netty.handler.codec.http2.HttpConversionUtil;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** HTTP/2 client with prior knowledge that handles GOAWAY as specified by RFC 9113. */
final class Http2TestClient implements AutoCloseable {
  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final CompletableFuture<Void> goAway = new CompletableFuture<>();
  private final Channel connection;

  Http2TestClient(InetSocketAddress address) throws InterruptedException {
    connection =
        new Bootstrap()
            .group(loops)
            .channel(NioSocketChannel.class)
            .handler(new ConnectionPipeline())
            .connect(address)
            .sync()
            .channel();
  }

  /** Returns a future that completes when the first GOAWAY is received. */
  CompletableFuture<Void> goAway() {
    return goAway;
  }

  /** Sends a request on a new stream; the future completes with the HTTP status. */
  CompletableFuture<Integer> post(String path, String body) throws Exception {
    return send(
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            path,
            Unpooled.copiedBuffer(body, StandardCharsets.UTF_8)));
  }

  /** Sends the header fields of a request without its body; completes with the HTTP status. */
  CompletableFuture<Integer> open(String path) throws Exception {
    return send(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path));
  }

  private CompletableFuture<Integer> send(HttpRequest request) throws Exception {
    CompletableFuture<Integer> status = new CompletableFuture<>();
    Channel stream =
        new Http2StreamChannelBootstrap(connection)
            .handler(new StreamPipeline(status))
            .open()
            .get();
    request.headers().set(HttpHeaderNames.HOST, "x");
    request.headers().set(HttpConversionUtil.ExtensionHeaderNames.SCHEME.text(), "http");
    stream.writeAndFlush(request).sync();
    return status;
  }

  @Override
  public void close() {
    connection.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private final class ConnectionPipeline extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      ChannelInitializer<Channel> ignore =
          new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel stream) {}
          };
      channel
          .pipeline()
          .addLast(
              Http2FrameCodecBuilder.forClient().build(),
              new Http2MultiplexHandler(ignore),
              new GoAwayListener());
    }
  }

  private final class GoAwayListener extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object frame) {
      if (frame instanceof Http2GoAwayFrame) {
        goAway.complete(null);
      }
      ReferenceCountUtil.release(frame);
    }
  }

  private static final class StreamPipeline extends ChannelInitializer<Channel> {
    private final CompletableFuture<Integer> status;

    StreamPipeline(CompletableFuture<Integer> status) {
      this.status = status;
    }

    @Override
    protected void initChannel(Channel stream) {
      stream
          .pipeline()
          .addLast(
              new Http2StreamFrameToHttpObjectCodec(false),
              new SimpleChannelInboundHandler<HttpObject>() {
                @Override
                protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
                  if (part instanceof HttpResponse response) {
                    status.complete(response.status().code());
                  }
                }
              });
    }
  }
}

package org.chicorylane.internal.caller;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerUpgradeHandler;
import io.netty.handler.codec.http2.CleartextHttp2ServerUpgradeHandler;
import io.netty.handler.codec.http2.Http2CodecUtil;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2ServerUpgradeCodec;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import io.netty.handler.ssl.ApplicationProtocolNames;
import io.netty.handler.ssl.ApplicationProtocolNegotiationHandler;
import io.netty.handler.ssl.SslContext;
import io.netty.util.AsciiString;
import java.time.InstantSource;
import java.util.Collection;
import org.jspecify.annotations.Nullable;

/**
 * Sets up the handlers of a new connection. Without TLS, the port serves both HTTP/1.1 and HTTP/2,
 * the latter by upgrade or prior knowledge. With TLS, the protocol is negotiated by ALPN.
 */
final class CallerPipeline extends ChannelInitializer<Channel> {
  private static final String HTTP_1_ASSEMBLER = "http1-assembler";
  private static final String HTTP_1_EXCHANGES = "http1-exchanges";
  private static final long NO_SHUTDOWN_TIMEOUT = -1; // Netty waits until all streams are closed

  private final CallerLimits limits;
  private final RequestProcessor processor;
  private final InstantSource clock;
  private final DrainState drainState;
  private final CallerMetrics metrics;
  private final @Nullable SslContext tls;
  private final BufferBudget budget;

  CallerPipeline(
      CallerLimits limits,
      RequestProcessor processor,
      InstantSource clock,
      DrainState drainState,
      CallerMetrics metrics,
      @Nullable SslContext tls) {
    this.limits = limits;
    this.processor = processor;
    this.clock = clock;
    this.drainState = drainState;
    this.metrics = metrics;
    this.tls = tls;
    this.budget = new BufferBudget(limits.load().bufferedBytes());
  }

  @Override
  protected void initChannel(Channel channel) {
    TransportHandler transport = new TransportHandler();
    channel.pipeline().addLast(transport);
    if (tls == null) {
      addCleartextHandlers(channel.pipeline(), transport);
    } else {
      channel.pipeline().addLast(tls.newHandler(channel.alloc()));
      channel.pipeline().addLast(new AlpnHandler(transport));
    }
  }

  private void addCleartextHandlers(ChannelPipeline pipeline, TransportHandler transport) {
    HttpServerCodec http1 = http1Codec();
    HttpServerUpgradeHandler upgrade =
        new HttpServerUpgradeHandler(
            http1,
            name ->
                AsciiString.contentEquals(Http2CodecUtil.HTTP_UPGRADE_PROTOCOL_NAME, name)
                        && pipeline.get(ExchangeHandler.class).isIdle()
                    ? new Http2UpgradeCodec(transport)
                    : null,
            limits.sizes().bodyBytes());
    ChannelHandler priorKnowledge =
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            removeHttp1Handlers(channel.pipeline());
            addHttp2Handlers(channel.pipeline(), transport);
          }
        };
    pipeline.addLast(new CleartextHttp2ServerUpgradeHandler(http1, upgrade, priorKnowledge));
    addHttp1Handlers(pipeline, transport);
  }

  private void addHttp1Handlers(ChannelPipeline pipeline, TransportHandler transport) {
    ConnectionTimer timer = ConnectionTimer.idle(limits.times(), clock.instant());
    transport.setBytesListener(() -> timer.onBytesReceived(clock.instant()));
    RequestAssembler assembler =
        new RequestAssembler(
            limits.sizes().bodyBytes(), budget, () -> timer.onHeadersReceived(clock.instant()));
    pipeline.addLast(HTTP_1_ASSEMBLER, assembler);
    pipeline.addLast(HTTP_1_EXCHANGES, exchangeHandler(HttpProtocol.HTTP_1, assembler, timer));
  }

  private static void removeHttp1Handlers(ChannelPipeline pipeline) {
    pipeline.remove(HTTP_1_ASSEMBLER);
    pipeline.remove(HTTP_1_EXCHANGES);
  }

  private void addHttp2Handlers(ChannelPipeline pipeline, TransportHandler transport) {
    Http2FrameCodec codec = http2Codec();
    Http2ConnectionHandler handler = connectionHandler(codec, transport);
    transport.setBytesListener(handler::onBytesReceived);
    pipeline.addLast(codec, multiplexer(), handler);
  }

  private Http2MultiplexHandler multiplexer() {
    return new Http2MultiplexHandler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel stream) {
            addStreamHandlers(stream.pipeline());
          }
        });
  }

  private void addStreamHandlers(ChannelPipeline pipeline) {
    ConnectionTimer timer = ConnectionTimer.receivingBody(limits.times(), clock.instant());
    RequestAssembler assembler =
        new RequestAssembler(
            limits.sizes().bodyBytes(), budget, () -> timer.onHeadersReceived(clock.instant()));
    pipeline.addLast(
        new Http2StreamFrameToHttpObjectCodec(true),
        assembler,
        exchangeHandler(HttpProtocol.HTTP_2, assembler, timer));
  }

  private ExchangeHandler exchangeHandler(
      HttpProtocol protocol, RequestAssembler assembler, ConnectionTimer timer) {
    return new ExchangeHandler(
        protocol, processor, assembler, timer, limits, clock, drainState, metrics, budget);
  }

  private Http2ConnectionHandler connectionHandler(
      Http2FrameCodec codec, TransportHandler transport) {
    return new Http2ConnectionHandler(codec, transport, limits.times(), clock, drainState, metrics);
  }

  private HttpServerCodec http1Codec() {
    int bytes = limits.sizes().headerBytes();
    return new HttpServerCodec(
        new HttpDecoderConfig().setMaxInitialLineLength(bytes).setMaxHeaderSize(bytes));
  }

  private Http2FrameCodec http2Codec() {
    Http2Settings settings =
        Http2Settings.defaultSettings()
            .maxConcurrentStreams(limits.load().streamsPerConnection())
            .maxHeaderListSize(limits.sizes().headerBytes());
    return Http2FrameCodecBuilder.forServer()
        .initialSettings(settings)
        .autoAckPingFrame(true)
        .gracefulShutdownTimeoutMillis(NO_SHUTDOWN_TIMEOUT)
        .build();
  }

  /** Upgrades an HTTP/1.1 connection to HTTP/2 when the caller requests it. */
  private final class Http2UpgradeCodec implements HttpServerUpgradeHandler.UpgradeCodec {
    private final TransportHandler transport;
    private final Http2ConnectionHandler handler;
    private final Http2ServerUpgradeCodec delegate;

    Http2UpgradeCodec(TransportHandler transport) {
      this.transport = transport;
      Http2FrameCodec codec = http2Codec();
      this.handler = connectionHandler(codec, transport);
      this.delegate = new Http2ServerUpgradeCodec(codec, multiplexer(), handler);
    }

    @Override
    public Collection<CharSequence> requiredUpgradeHeaders() {
      return delegate.requiredUpgradeHeaders();
    }

    @Override
    public boolean prepareUpgradeResponse(
        ChannelHandlerContext ctx, FullHttpRequest request, HttpHeaders headers) {
      return delegate.prepareUpgradeResponse(ctx, request, headers);
    }

    @Override
    public void upgradeTo(ChannelHandlerContext ctx, FullHttpRequest request) {
      removeHttp1Handlers(ctx.pipeline());
      transport.setBytesListener(handler::onBytesReceived);
      delegate.upgradeTo(ctx, request);
    }
  }

  /** Sets up the protocol that TLS negotiated. */
  private final class AlpnHandler extends ApplicationProtocolNegotiationHandler {
    private final TransportHandler transport;

    AlpnHandler(TransportHandler transport) {
      super(ApplicationProtocolNames.HTTP_1_1);
      this.transport = transport;
    }

    @Override
    protected void configurePipeline(ChannelHandlerContext ctx, String protocol) {
      if (protocol.equals(ApplicationProtocolNames.HTTP_2)) {
        addHttp2Handlers(ctx.pipeline(), transport);
      } else {
        ctx.pipeline().addLast(http1Codec());
        addHttp1Handlers(ctx.pipeline(), transport);
      }
    }
  }
}

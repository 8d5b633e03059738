package org.chicorylane.internal.caller;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.relay.GroupService;
import org.chicorylane.internal.session.SessionIds;
import org.chicorylane.internal.session.SessionTokenCodec;
import org.jspecify.annotations.Nullable;

/**
 * The HTTP server that receives requests from callers.
 *
 * <pre>{@code
 * CallerServer server =
 *     CallerServer.builder()
 *         .address(new InetSocketAddress("127.0.0.1", 7400))
 *         .service(service)
 *         .declarations(declarations)
 *         .tokens(tokens)
 *         .start();
 * server.drain().join(); // every request in flight has received its response
 * server.close();
 * }</pre>
 *
 * <p>Thread-safe. {@link #close} aborts the requests in flight, so call {@link #drain} first.
 */
public final class CallerServer implements AutoCloseable {
  private static final Duration LOOP_SHUTDOWN_TIMEOUT = Duration.ofSeconds(2);

  private final EventLoopGroup acceptors =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoopGroup workers;
  private final ChannelGroup connections =
      new DefaultChannelGroup("callers", GlobalEventExecutor.INSTANCE);
  private final CallerLimits limits;
  private final CallerMetrics metrics;
  private final DrainState drainState = new DrainState();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private final Channel listener;

  private CallerServer(Builder builder) {
    limits = builder.limits;
    metrics = new CallerMetrics(builder.metrics);
    workers = new MultiThreadIoEventLoopGroup(builder.threads, NioIoHandler.newFactory());
    BooleanSupplier readiness = builder.ready;
    RequestProcessor processor =
        new RequestProcessor(
            Objects.requireNonNull(builder.service, "service"),
            builder.declarations,
            Objects.requireNonNull(builder.tokens, "tokens"),
            builder.ids,
            limits,
            builder.clock,
            metrics,
            () -> !drainState.isAnnounced() && readiness.getAsBoolean());
    listener =
        bind(
            new CallerPipeline(limits, processor, builder.clock, drainState, metrics, builder.tls),
            builder.address);
  }

  private Channel bind(CallerPipeline pipeline, InetSocketAddress address) {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(acceptors, workers)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .handler(new ConnectionLimiter())
            .childHandler(pipeline)
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      shutDownLoops();
      throw new IllegalStateException("cannot listen on " + address, bound.cause());
    }
    return bound.channel();
  }

  /** Returns a builder with defaults for everything except the service and the tokens. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the address that the server listens on, with the port that was bound. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /**
   * Shuts the server down without aborting requests. First the readiness check fails. After the
   * drain notice, no new connection is accepted and each connection ends after its requests in
   * flight.
   *
   * @return a future that completes when no connection is left; every call returns the same one
   */
  public CompletableFuture<Void> drain() {
    if (drainState.announce()) {
      long noticeMillis = limits.times().drainNotice().toMillis();
      acceptors.schedule(this::startClosingConnections, noticeMillis, TimeUnit.MILLISECONDS);
    }
    return drained;
  }

  private void startClosingConnections() {
    listener
        .close()
        .addListener(
            closed -> {
              drainState.startClosing();
              connections.forEach(
                  c -> c.pipeline().fireUserEventTriggered(DrainState.Event.CLOSE_CONNECTIONS));
              connections.newCloseFuture().addListener(ended -> drained.complete(null));
            });
  }

  /** Closes all connections immediately and stops the threads. */
  @Override
  public void close() {
    listener.close();
    connections.close();
    shutDownLoops();
  }

  private void shutDownLoops() {
    long timeoutMillis = LOOP_SHUTDOWN_TIMEOUT.toMillis();
    acceptors.shutdownGracefully(0, timeoutMillis, TimeUnit.MILLISECONDS);
    workers.shutdownGracefully(0, timeoutMillis, TimeUnit.MILLISECONDS);
  }

  /** Closes accepted connections above the limit. Runs on the accepting thread. */
  private final class ConnectionLimiter extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object accepted) {
      Channel connection = (Channel) accepted;
      if (connections.size() >= limits.load().connections()) {
        metrics.recordConnectionRefused();
        connection.unsafe().closeForcibly();
        return;
      }
      connections.add(connection);
      metrics.recordConnectionOpened();
      connection.closeFuture().addListener(closed -> metrics.recordConnectionClosed());
      ctx.fireChannelRead(accepted);
    }
  }

  /** Builder for a {@link CallerServer}. Not thread-safe. */
  public static final class Builder {
    private InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private @Nullable GroupService service;
    private Supplier<Declarations> declarations = () -> Declarations.EMPTY;
    private @Nullable SessionTokenCodec tokens;
    private SessionIds ids = new SessionIds(new SecureRandom());
    private CallerLimits limits = CallerLimits.defaults();
    private InstantSource clock = InstantSource.system();
    private MetricRegistry metrics = new MetricRegistry();
    private BooleanSupplier ready = () -> true;
    private @Nullable SslContext tls;
    private int threads = Math.max(2, Runtime.getRuntime().availableProcessors());

    private Builder() {}

    /** Sets the address to listen on; port 0 selects a free port. */
    public Builder address(InetSocketAddress value) {
      address = value;
      return this;
    }

    /** Sets the service that runs the requests to database groups; required. */
    public Builder service(GroupService value) {
      service = value;
      return this;
    }

    /** Sets the supplier of the declarations that are currently in force. */
    public Builder declarations(Supplier<Declarations> value) {
      declarations = value;
      return this;
    }

    /** Sets the codec of session tokens; required. */
    public Builder tokens(SessionTokenCodec value) {
      tokens = value;
      return this;
    }

    /** Sets the generator of session ids and request ids. */
    public Builder ids(SessionIds value) {
      ids = value;
      return this;
    }

    /** Sets the limits. */
    public Builder limits(CallerLimits value) {
      limits = value;
      return this;
    }

    /** Sets the clock for deadlines and timeouts. */
    public Builder clock(InstantSource value) {
      clock = value;
      return this;
    }

    /** Sets the registry for the metrics of the server. */
    public Builder metrics(MetricRegistry value) {
      metrics = value;
      return this;
    }

    /** Sets the condition of the readiness check, which also fails during a drain. */
    public Builder ready(BooleanSupplier value) {
      ready = value;
      return this;
    }

    /** Sets the TLS context; null, the default, disables TLS. */
    public Builder tls(@Nullable SslContext value) {
      tls = value;
      return this;
    }

    /** Sets the number of threads that serve connections. */
    public Builder threads(int value) {
      threads = value;
      return this;
    }

    /**
     * Starts the server.
     *
     * @throws NullPointerException if the service or the tokens are missing
     * @throws IllegalStateException if the server cannot listen on the address
     */
    public CallerServer start() {
      return new CallerServer(this);
    }
  }
}

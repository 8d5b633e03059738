package org.chicorylane.internal.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http2.DefaultHttp2GoAwayFrame;
import io.netty.handler.codec.http2.DefaultHttp2PingFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.handler.codec.http2.Http2PingFrame;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Manages an HTTP/2 connection. Sends pings, closes the connection if it is unresponsive or unused,
 * and sends GOAWAY during a drain.
 *
 * <p>The drain takes two steps, following RFC 9113, section 6.8. A first GOAWAY without a specific
 * last stream makes the caller stop opening streams. A second GOAWAY with the last stream follows
 * when the streams that were already on their way have arrived.
 */
final class Http2ConnectionHandler extends ChannelInboundHandlerAdapter {
  private static final long PING_CONTENT = 0x63_68_69_63_6f_72_79L; // "chicory" in ASCII

  private final Http2FrameCodec codec;
  private final TransportHandler transport;
  private final TimeLimits limits;
  private final InstantSource clock;
  private final DrainState drainState;
  private final CallerMetrics metrics;
  private @Nullable ScheduledFuture<?> timeoutCheck;
  private Instant lastStreamActiveAt;
  private Instant lastBytesReceivedAt;
  private Instant lastPingSentAt;
  private boolean pingUnanswered;
  private @Nullable Instant drainingSince;
  private @Nullable Instant goAwaySentAt;
  private boolean closing;

  Http2ConnectionHandler(
      Http2FrameCodec codec,
      TransportHandler transport,
      TimeLimits limits,
      InstantSource clock,
      DrainState drainState,
      CallerMetrics metrics) {
    this.codec = codec;
    this.transport = transport;
    this.limits = limits;
    this.clock = clock;
    this.drainState = drainState;
    this.metrics = metrics;
    this.lastStreamActiveAt = clock.instant();
    this.lastPingSentAt = lastStreamActiveAt;
    this.lastBytesReceivedAt = lastStreamActiveAt;
  }

  /** Records that bytes of any frame were received. */
  void onBytesReceived() {
    lastBytesReceivedAt = clock.instant();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    long interval = limits.checkInterval().toMillis();
    timeoutCheck =
        ctx.executor()
            .scheduleAtFixedRate(
                () -> checkTimeouts(ctx), interval, interval, TimeUnit.MILLISECONDS);
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    if (timeoutCheck != null) {
      timeoutCheck.cancel(false);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object frame) {
    if (frame instanceof Http2PingFrame ping && ping.ack() && ping.content() == PING_CONTENT) {
      pingUnanswered = false;
    }
    ReferenceCountUtil.release(frame);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event == DrainState.Event.CLOSE_CONNECTIONS) {
      sendGoAwayWhenDue(ctx, clock.instant());
    }
    ctx.fireUserEventTriggered(event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    transport.closeNow();
  }

  private void checkTimeouts(ChannelHandlerContext ctx) {
    Instant now = clock.instant();
    if (goAwaySentAt != null && hasElapsed(goAwaySentAt, now, limits.drainIdle())) {
      closeGracefully(ctx);
    }
    if (codec.connection().numActiveStreams() > 0) {
      lastStreamActiveAt = now;
    } else if (hasElapsed(lastStreamActiveAt, now, limits.keepAliveTimeout())) {
      closeGracefully(ctx);
    }
    if (drainState.isClosing()) {
      sendGoAwayWhenDue(ctx, now);
    }
    if (hasElapsed(lastPingSentAt, now, limits.pingInterval())) {
      ping(ctx, now);
    }
  }

  private void ping(ChannelHandlerContext ctx, Instant now) {
    if (pingUnanswered) {
      metrics.recordTimeout();
      transport.closeNow();
      return;
    }
    pingUnanswered = true;
    lastPingSentAt = now;
    ctx.writeAndFlush(new DefaultHttp2PingFrame(PING_CONTENT));
  }

  private void sendGoAwayWhenDue(ChannelHandlerContext ctx, Instant now) {
    if (drainingSince == null) {
      drainingSince = now;
    }
    boolean unused =
        codec.connection().numActiveStreams() == 0
            && hasElapsed(lastStreamActiveAt, now, limits.drainIdle())
            && hasElapsed(lastBytesReceivedAt, now, limits.drainIdle());
    if (goAwaySentAt == null && (unused || hasElapsed(drainingSince, now, limits.goAwayDelay()))) {
      goAwaySentAt = now;
      sendGoAway(ctx);
    }
  }

  private static void sendGoAway(ChannelHandlerContext ctx) {
    ctx.writeAndFlush(
        new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR).setExtraStreamIds(Integer.MAX_VALUE));
  }

  private void closeGracefully(ChannelHandlerContext ctx) {
    if (!closing) {
      closing = true;
      ctx.close();
    }
  }

  private static boolean hasElapsed(Instant since, Instant now, Duration time) {
    return Duration.between(since, now).compareTo(time) >= 0;
  }
}

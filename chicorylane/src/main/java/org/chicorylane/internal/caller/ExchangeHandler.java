package org.chicorylane.internal.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Serves the requests of an HTTP/1.1 connection one after another, or the single request of an
 * HTTP/2 stream.
 *
 * <p>Runs on the event loop of the channel. A response is dropped and counted as late if its
 * channel is no longer active or has already been sent its last response.
 */
final class ExchangeHandler extends SimpleChannelInboundHandler<ReceivedRequest> {
  private static final String NO_REQUEST_ID = "none";
  private static final Duration LINGER_TIMEOUT = Duration.ofSeconds(1);

  private final HttpProtocol protocol;
  private final RequestProcessor processor;
  private final RequestAssembler assembler;
  private final ConnectionTimer timer;
  private final CallerLimits limits;
  private final InstantSource clock;
  private final DrainState drainState;
  private final CallerMetrics metrics;
  private final BufferBudget budget;
  private final Queue<ReceivedRequest> queuedRequests = new ArrayDeque<>();
  private @Nullable ScheduledFuture<?> timeoutCheck;
  private boolean busy;
  private boolean lastResponseStarted;
  private @Nullable Instant lastResponseWrittenAt;

  ExchangeHandler(
      HttpProtocol protocol,
      RequestProcessor processor,
      RequestAssembler assembler,
      ConnectionTimer timer,
      CallerLimits limits,
      InstantSource clock,
      DrainState drainState,
      CallerMetrics metrics,
      BufferBudget budget) {
    this.protocol = protocol;
    this.processor = processor;
    this.assembler = assembler;
    this.timer = timer;
    this.limits = limits;
    this.clock = clock;
    this.drainState = drainState;
    this.metrics = metrics;
    this.budget = budget;
  }

  /** Returns whether no request is queued or being served and no response is being written. */
  boolean isIdle() {
    return !busy && queuedRequests.isEmpty();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    long interval = limits.times().checkInterval().toMillis();
    timeoutCheck =
        ctx.executor()
            .scheduleAtFixedRate(
                () -> checkTimeouts(ctx), interval, interval, TimeUnit.MILLISECONDS);
    if (drainState.isClosing()) {
      timer.startDrain(clock.instant());
    }
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    if (timeoutCheck != null) {
      timeoutCheck.cancel(false);
    }
    queuedRequests.forEach(this::releaseBody);
    queuedRequests.clear();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event == DrainState.Event.CLOSE_CONNECTIONS) {
      timer.startDrain(clock.instant());
    }
    ctx.fireUserEventTriggered(event);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ReceivedRequest request) {
    if (lastResponseStarted) {
      releaseBody(request);
      return;
    }
    queuedRequests.add(request);
    if (queuedRequests.size() >= limits.load().pipelinedRequests()) {
      ctx.channel().config().setAutoRead(false);
    }
    serveNext(ctx);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    Logger.debug(
        cause,
        "closing the connection of caller {} after an exception",
        ctx.channel().remoteAddress());
    ctx.close();
  }

  private void serveNext(ChannelHandlerContext ctx) {
    if (busy || lastResponseStarted) {
      return;
    }
    ReceivedRequest request = queuedRequests.poll();
    if (request == null) {
      return;
    }
    releaseBody(request);
    if (queuedRequests.size() < limits.load().pipelinedRequests()) {
      ctx.channel().config().setAutoRead(true);
    }
    if (request instanceof ReceivedRequest.Complete complete) {
      busy = true;
      timer.onServiceStarted(clock.instant());
      processor
          .process(complete, ctx.executor())
          .thenAccept(
              response ->
                  ctx.executor().execute(() -> writeResponse(ctx, response, complete.keepAlive())));
    } else {
      reject(ctx, ((ReceivedRequest.Rejected) request).problem());
    }
  }

  private void reject(ChannelHandlerContext ctx, Problem problem) {
    metrics.recordResponse(problem.status());
    writeResponse(ctx, ResponseWriter.problem(problem, NO_REQUEST_ID), false);
  }

  private void writeResponse(
      ChannelHandlerContext ctx, CallerResponse response, boolean keepAlive) {
    if (!ctx.channel().isActive() || lastResponseStarted) {
      metrics.recordLateOutcome();
      return;
    }
    boolean isLast = !keepAlive || mustCloseForDrain();
    if (isLast) {
      protocol.markLastResponse(response.headers());
      lastResponseStarted = true;
    }
    busy = true;
    timer.onWriteStarted(clock.instant());
    ctx.writeAndFlush(toHttpResponse(response))
        .addListener(
            (ChannelFutureListener)
                written -> {
                  if (written.isSuccess()) {
                    onResponseWritten(ctx, isLast);
                  } else {
                    metrics.recordLateOutcome();
                    ctx.close();
                  }
                });
  }

  private boolean mustCloseForDrain() {
    boolean nothingFollows = queuedRequests.isEmpty() && !assembler.isReceiving();
    return protocol.closesAfterResponse() && drainState.isClosing() && nothingFollows;
  }

  private void releaseBody(ReceivedRequest request) {
    if (request instanceof ReceivedRequest.Complete complete) {
      budget.release(complete.body().size());
    }
  }

  private void onResponseWritten(ChannelHandlerContext ctx, boolean isLast) {
    busy = false;
    if (isLast) {
      lastResponseWrittenAt = clock.instant();
      protocol.closeAfterLastResponse(ctx.channel());
      return;
    }
    timer.onResponseWritten(assembler.isReceiving(), clock.instant());
    serveNext(ctx);
  }

  private void checkTimeouts(ChannelHandlerContext ctx) {
    Instant now = clock.instant();
    if (lastResponseWrittenAt != null) {
      Duration elapsed = Duration.between(lastResponseWrittenAt, now);
      if (elapsed.compareTo(LINGER_TIMEOUT) >= 0) {
        ctx.close();
      }
      return;
    }
    if (!timer.isExpired(now)) {
      return;
    }
    if (timer.phase().isReceiving() && !lastResponseStarted) {
      metrics.recordTimeout();
      reject(
          ctx,
          Problem.of(
              ProblemType.REQUEST_TIMEOUT,
              "the request was not whole in time: its "
                  + ProblemType.toKebabCase(timer.phase())
                  + " did not end"));
      return;
    }
    if (timer.phase() == ConnectionTimer.Phase.WRITING) {
      metrics.recordTimeout();
    }
    ctx.close();
  }

  private static FullHttpResponse toHttpResponse(CallerResponse response) {
    ByteBuf body = Unpooled.copiedBuffer(response.body(), StandardCharsets.UTF_8);
    FullHttpResponse httpResponse =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(response.status()),
            body,
            response.headers(),
            DefaultHttpHeadersFactory.trailersFactory().newHeaders());
    HttpUtil.setContentLength(httpResponse, body.readableBytes());
    return httpResponse;
  }
}

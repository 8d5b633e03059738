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
 * Serves the requests of one HTTP/1.1 connection one after another, or the one request of an HTTP/2
 * stream.
 *
 * <p>Runs on the channel's event loop. An answer whose channel is gone is dropped and counted.
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
  private final DrainState drain;
  private final CallerMetrics metrics;
  private final BufferBudget budget;
  private final Queue<ReceivedRequest> waiting = new ArrayDeque<>();
  private @Nullable ScheduledFuture<?> check;
  private boolean busy;
  private boolean finished;
  private @Nullable Instant finishedAt;

  ExchangeHandler(
      HttpProtocol protocol,
      RequestProcessor processor,
      RequestAssembler assembler,
      ConnectionTimer timer,
      CallerLimits limits,
      InstantSource clock,
      DrainState drain,
      CallerMetrics metrics,
      BufferBudget budget) {
    this.protocol = protocol;
    this.processor = processor;
    this.assembler = assembler;
    this.timer = timer;
    this.limits = limits;
    this.clock = clock;
    this.drain = drain;
    this.metrics = metrics;
    this.budget = budget;
  }

  /** Returns whether the connection has nothing to serve or to send. */
  boolean isIdle() {
    return !busy && waiting.isEmpty();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    long interval = limits.times().checkInterval().toMillis();
    check =
        ctx.executor()
            .scheduleAtFixedRate(() -> checkTimer(ctx), interval, interval, TimeUnit.MILLISECONDS);
    if (drain.isEnding()) {
      timer.drain(clock.instant());
    }
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    if (check != null) {
      check.cancel(false);
    }
    waiting.forEach(this::giveBack);
    waiting.clear();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event == DrainState.Event.CONNECTIONS_END) {
      timer.drain(clock.instant());
    }
    ctx.fireUserEventTriggered(event);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ReceivedRequest request) {
    if (finished) {
      giveBack(request);
      return;
    }
    waiting.add(request);
    if (waiting.size() >= limits.load().pipelinedRequests()) {
      ctx.channel().config().setAutoRead(false);
    }
    serveNext(ctx);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    Logger.debug(cause, "closing the connection of a caller at {}", ctx.channel().remoteAddress());
    ctx.close();
  }

  private void serveNext(ChannelHandlerContext ctx) {
    if (busy || finished) {
      return;
    }
    ReceivedRequest request = waiting.poll();
    if (request == null) {
      return;
    }
    giveBack(request);
    if (waiting.size() < limits.load().pipelinedRequests()) {
      ctx.channel().config().setAutoRead(true);
    }
    if (request instanceof ReceivedRequest.Whole whole) {
      busy = true;
      timer.serving(clock.instant());
      processor
          .process(whole, ctx.executor())
          .thenAccept(
              answer -> ctx.executor().execute(() -> write(ctx, answer, whole.keepAlive())));
    } else {
      refuse(ctx, ((ReceivedRequest.Broken) request).problem());
    }
  }

  private void refuse(ChannelHandlerContext ctx, Problem problem) {
    metrics.answered(problem.status());
    write(ctx, AnswerWriter.problem(problem, NO_REQUEST_ID), false);
  }

  private void write(ChannelHandlerContext ctx, CallerAnswer answer, boolean keepAlive) {
    if (!ctx.channel().isActive() || finished) {
      metrics.outcomeWasLate();
      return;
    }
    boolean last = !keepAlive || endsForDrain();
    if (last) {
      protocol.markLast(answer.headers());
      finished = true;
    }
    busy = true;
    timer.writing(clock.instant());
    ctx.writeAndFlush(toHttp(answer))
        .addListener(
            (ChannelFutureListener)
                written -> {
                  if (written.isSuccess()) {
                    answerWritten(ctx, last);
                  } else {
                    metrics.outcomeWasLate();
                    ctx.close();
                  }
                });
  }

  private boolean endsForDrain() {
    boolean nothingFollows = waiting.isEmpty() && !assembler.isReceiving();
    return protocol.endsWithAnswer() && drain.isEnding() && nothingFollows;
  }

  private void giveBack(ReceivedRequest request) {
    if (request instanceof ReceivedRequest.Whole whole) {
      budget.giveBack(whole.body().size());
    }
  }

  private void answerWritten(ChannelHandlerContext ctx, boolean last) {
    busy = false;
    if (last) {
      finishedAt = clock.instant();
      protocol.finish(ctx.channel());
      return;
    }
    timer.answerWritten(assembler.isReceiving(), clock.instant());
    serveNext(ctx);
  }

  private void checkTimer(ChannelHandlerContext ctx) {
    Instant now = clock.instant();
    if (finishedAt != null) {
      Duration since = Duration.between(finishedAt, now);
      if (since.compareTo(LINGER_TIMEOUT) >= 0) {
        ctx.close();
      }
      return;
    }
    if (!timer.isExpired(now)) {
      return;
    }
    if (timer.phase().isReceiving() && !finished) {
      metrics.callerTimedOut();
      refuse(
          ctx,
          Problem.of(
              ProblemType.REQUEST_TIMEOUT,
              "the request was not whole in time: its "
                  + ProblemType.kebab(timer.phase())
                  + " did not end"));
      return;
    }
    if (timer.phase() == ConnectionTimer.Phase.WRITING) {
      metrics.callerTimedOut();
    }
    ctx.close();
  }

  private static FullHttpResponse toHttp(CallerAnswer answer) {
    ByteBuf body = Unpooled.copiedBuffer(answer.body(), StandardCharsets.UTF_8);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(answer.status()),
            body,
            answer.headers(),
            DefaultHttpHeadersFactory.trailersFactory().newHeaders());
    HttpUtil.setContentLength(response, body.readableBytes());
    return response;
  }
}

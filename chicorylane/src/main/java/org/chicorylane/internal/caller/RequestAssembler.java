package org.chicorylane.internal.caller;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Collects the parts of an HTTP request into a whole one, or says why it is broken.
 *
 * <p>Passes on {@link ReceivedRequest}s only. After a broken request it discards everything that
 * still comes.
 */
final class RequestAssembler extends SimpleChannelInboundHandler<HttpObject> {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final int maximumBody;
  private final BufferBudget budget;
  private final Runnable onHeaders;
  private @Nullable HttpRequest head;
  private ByteString.Output body = ByteString.newOutput();
  private boolean broken;

  /**
   * Makes an assembler.
   *
   * @param maximumBody the largest body, in bytes
   * @param budget is charged for the body; whoever takes a whole request gives its bytes back
   * @param onHeaders runs when the header fields of a request are there
   */
  RequestAssembler(int maximumBody, BufferBudget budget, Runnable onHeaders) {
    this.budget = budget;
    this.maximumBody = maximumBody;
    this.onHeaders = onHeaders;
  }

  /** Returns whether a request has arrived in part. */
  boolean isReceiving() {
    return head != null;
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    budget.giveBack(body.size());
    body = ByteString.newOutput();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (broken) {
      return;
    }
    if (part.decoderResult().isFailure()) {
      refuse(ctx, problemOf(part.decoderResult()));
      return;
    }
    if (part instanceof HttpRequest request) {
      begin(ctx, request);
    }
    if (part instanceof HttpContent content && head != null) {
      add(ctx, content);
    }
  }

  private void begin(ChannelHandlerContext ctx, HttpRequest request) {
    onHeaders.run();
    if (HttpVersion.HTTP_1_1.equals(request.protocolVersion())
        && !request.headers().contains(HttpHeaderNames.HOST)) {
      refuse(ctx, Problem.of(ProblemType.MALFORMED_HTTP, "the Host header field is missing"));
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > maximumBody) {
      refuse(ctx, tooLarge());
      return;
    }
    head = request;
    body = ByteString.newOutput();
    String expectation = request.headers().get(HttpHeaderNames.EXPECT);
    if (expectation == null) {
      return;
    }
    if (HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation)) {
      ctx.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.CONTINUE,
              Unpooled.EMPTY_BUFFER,
              DefaultHttpHeadersFactory.headersFactory(),
              DefaultHttpHeadersFactory.trailersFactory()));
    } else {
      refuse(ctx, Problem.of(ProblemType.EXPECTATION_FAILED, "only 100-continue can be expected"));
    }
  }

  private void add(ChannelHandlerContext ctx, HttpContent content) {
    int length = content.content().readableBytes();
    if (body.size() + length > maximumBody) {
      refuse(ctx, tooLarge());
      return;
    }
    if (!budget.tryTake(length)) {
      refuse(
          ctx,
          Problem.overloaded(
              RETRY_AFTER, "the instance buffers as many bytes of requests as it may"));
      return;
    }
    try {
      content.content().readBytes(body, length);
    } catch (IOException e) {
      throw new UncheckedIOException("a stream in memory does not fail", e);
    }
    if (content instanceof LastHttpContent) {
      HttpRequest whole = head;
      ByteString wholeBody = body.toByteString();
      head = null;
      body = ByteString.newOutput();
      if (whole != null) {
        ctx.fireChannelRead(
            new ReceivedRequest.Whole(
                whole.method().name(),
                whole.uri(),
                whole.headers(),
                wholeBody,
                HttpUtil.isKeepAlive(whole)));
      }
    }
  }

  private void refuse(ChannelHandlerContext ctx, Problem problem) {
    broken = true;
    head = null;
    budget.giveBack(body.size());
    body = ByteString.newOutput();
    ctx.fireChannelRead(new ReceivedRequest.Broken(problem));
  }

  private Problem tooLarge() {
    return Problem.of(
        ProblemType.BODY_TOO_LARGE, "the body has more than " + maximumBody + " bytes");
  }

  private static Problem problemOf(DecoderResult result) {
    Throwable cause = result.cause();
    if (cause instanceof TooLongHttpLineException) {
      return Problem.of(ProblemType.URI_TOO_LONG, "the request line is longer than is read");
    }
    if (cause instanceof TooLongHttpHeaderException) {
      return Problem.of(ProblemType.HEADERS_TOO_LARGE, "the header fields are longer than is read");
    }
    return Problem.of(ProblemType.MALFORMED_HTTP, "the bytes do not form an HTTP request");
  }
}

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
 * Collects the parts of an HTTP request into a complete request, or rejects it with a problem.
 *
 * <p>Passes only {@link ReceivedRequest}s to the next handler. After a rejected request it discards
 * all further input.
 */
final class RequestAssembler extends SimpleChannelInboundHandler<HttpObject> {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final int maximumBodyBytes;
  private final BufferBudget budget;
  private final Runnable onHeaders;
  private @Nullable HttpRequest partialRequest;
  private ByteString.Output body = ByteString.newOutput();
  private boolean rejected;

  /**
   * Creates an assembler.
   *
   * @param maximumBodyBytes the maximum size of a body, in bytes
   * @param budget the budget that body bytes are acquired from; the receiver of a complete request
   *     must release its bytes
   * @param onHeaders runs when the header fields of a request have been received
   */
  RequestAssembler(int maximumBodyBytes, BufferBudget budget, Runnable onHeaders) {
    this.budget = budget;
    this.maximumBodyBytes = maximumBodyBytes;
    this.onHeaders = onHeaders;
  }

  /** Returns whether a request has been received only partly. */
  boolean isReceiving() {
    return partialRequest != null;
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    budget.release(body.size());
    body = ByteString.newOutput();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (rejected) {
      return;
    }
    if (part.decoderResult().isFailure()) {
      reject(ctx, toProblem(part.decoderResult()));
      return;
    }
    if (part instanceof HttpRequest request) {
      startRequest(ctx, request);
    }
    if (part instanceof HttpContent content && partialRequest != null) {
      appendBody(ctx, content);
    }
  }

  private void startRequest(ChannelHandlerContext ctx, HttpRequest request) {
    onHeaders.run();
    if (HttpVersion.HTTP_1_1.equals(request.protocolVersion())
        && !request.headers().contains(HttpHeaderNames.HOST)) {
      reject(ctx, Problem.of(ProblemType.MALFORMED_HTTP, "the Host header field is missing"));
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > maximumBodyBytes) {
      reject(ctx, bodyTooLarge());
      return;
    }
    partialRequest = request;
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
      reject(ctx, Problem.of(ProblemType.EXPECTATION_FAILED, "only 100-continue can be expected"));
    }
  }

  private void appendBody(ChannelHandlerContext ctx, HttpContent content) {
    int length = content.content().readableBytes();
    if (body.size() + length > maximumBodyBytes) {
      reject(ctx, bodyTooLarge());
      return;
    }
    if (!budget.tryAcquire(length)) {
      reject(
          ctx,
          Problem.overloaded(
              RETRY_AFTER, "the instance buffers as many bytes of requests as it may"));
      return;
    }
    try {
      content.content().readBytes(body, length);
    } catch (IOException e) {
      throw new UncheckedIOException(
          "unexpected I/O error while buffering a request body in memory", e);
    }
    if (content instanceof LastHttpContent) {
      HttpRequest request = partialRequest;
      ByteString completeBody = body.toByteString();
      partialRequest = null;
      body = ByteString.newOutput();
      if (request != null) {
        ctx.fireChannelRead(
            new ReceivedRequest.Complete(
                request.method().name(),
                request.uri(),
                request.headers(),
                completeBody,
                HttpUtil.isKeepAlive(request)));
      }
    }
  }

  private void reject(ChannelHandlerContext ctx, Problem problem) {
    rejected = true;
    partialRequest = null;
    budget.release(body.size());
    body = ByteString.newOutput();
    ctx.fireChannelRead(new ReceivedRequest.Rejected(problem));
  }

  private Problem bodyTooLarge() {
    return Problem.of(
        ProblemType.BODY_TOO_LARGE, "the body has more than " + maximumBodyBytes + " bytes");
  }

  private static Problem toProblem(DecoderResult result) {
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

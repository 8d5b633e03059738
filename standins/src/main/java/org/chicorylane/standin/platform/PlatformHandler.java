package org.chicorylane.standin.platform;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.chicorylane.standin.platform.KeyValueEngine.RefusedException;
import org.jspecify.annotations.Nullable;

/** Serves the HTTP requests of one connection to the stand-in platform and injects its faults. */
final class PlatformHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final int GRPC_INVALID_ARGUMENT = 3;

  private final KeyValueEngine engine;
  private final KeyValueJson json;
  private final InstanceDirectory directory;
  private final PlatformFaults faults;
  private final CallCounts counts;
  private KeyValueEngine.@Nullable Watch watch;

  PlatformHandler(
      KeyValueEngine engine,
      InstanceDirectory directory,
      PlatformFaults faults,
      CallCounts counts) {
    this.engine = engine;
    this.json = new KeyValueJson(engine);
    this.directory = directory;
    this.faults = faults;
    this.counts = counts;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    Optional<CallKind> kind = kindOf(request);
    if (kind.isEmpty()) {
      send(context, HttpResponseStatus.NOT_FOUND, error("no such path: " + request.uri()));
      return;
    }
    counts.increment(kind.get());
    String body = request.content().toString(StandardCharsets.UTF_8);
    Runnable work = () -> context.executor().execute(() -> serve(context, kind.get(), body));
    Duration delay = faults.delay();
    if (delay.isZero()) {
      faults.runOrHold(work);
      return;
    }
    context
        .executor()
        .schedule(() -> faults.runOrHold(work), delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (watch != null) {
      watch.cancel();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  private static Optional<CallKind> kindOf(FullHttpRequest request) {
    for (CallKind kind : CallKind.values()) {
      HttpMethod method = kind == CallKind.INSTANCE_LIST ? HttpMethod.GET : HttpMethod.POST;
      if (kind.path().equals(request.uri()) && method.equals(request.method())) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }

  private void serve(ChannelHandlerContext context, CallKind kind, String body) {
    try {
      if (kind == CallKind.INSTANCE_LIST) {
        sendUnlessLost(context, directory.toEndpointSlice());
        return;
      }
      JsonObject request = JsonParser.parseString(body).getAsJsonObject();
      if (kind == CallKind.WATCH) {
        startWatch(context, request);
      } else {
        sendUnlessLost(context, json.handle(kind, request));
      }
    } catch (RefusedException e) {
      send(context, HttpResponseStatus.BAD_REQUEST, error("etcdserver: " + e.getMessage()));
    } catch (JsonParseException | IllegalStateException | IllegalArgumentException e) {
      send(context, HttpResponseStatus.BAD_REQUEST, error("malformed request: " + e.getMessage()));
    }
  }

  /** Sends {@code answer}, or closes the connection if the faults lose this answer. */
  private void sendUnlessLost(ChannelHandlerContext context, JsonObject answer) {
    if (faults.decideAnswerLoss()) {
      context.close();
      return;
    }
    send(context, HttpResponseStatus.OK, answer);
  }

  /** Answers with a chunked response of one JSON object per line, which stays open for events. */
  private void startWatch(ChannelHandlerContext context, JsonObject request) {
    JsonObject create = request.getAsJsonObject("create_request");
    if (create == null) {
      throw new IllegalArgumentException("a watch without create_request");
    }
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    head.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    HttpUtil.setTransferEncodingChunked(head, true);
    context.writeAndFlush(head);
    JsonObject created = KeyValueJson.withHeader(engine.revision());
    created.addProperty("created", true);
    writeLine(context, KeyValueJson.streamResult(created));
    long start = KeyValueJson.number(create, "start_revision");
    try {
      watch =
          engine.watch(
              KeyValueJson.keys(create),
              start,
              (revision, events) ->
                  faults.runOrHold(
                      () -> writeLine(context, KeyValueJson.eventsMessage(revision, events))));
    } catch (RefusedException e) {
      writeLine(context, canceledMessage());
    }
  }

  private JsonObject canceledMessage() {
    JsonObject canceled = KeyValueJson.withHeader(engine.revision());
    canceled.addProperty("canceled", true);
    canceled.addProperty("compact_revision", Long.toString(engine.compactedRevision()));
    return KeyValueJson.streamResult(canceled);
  }

  private static void writeLine(ChannelHandlerContext context, JsonObject object) {
    context.writeAndFlush(new DefaultHttpContent(bytes(object + "\n")));
  }

  private static void send(
      ChannelHandlerContext context, HttpResponseStatus status, JsonObject body) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes(body.toString()));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    HttpUtil.setContentLength(response, response.content().readableBytes());
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  private static JsonObject error(String message) {
    JsonObject error = new JsonObject();
    error.addProperty("code", GRPC_INVALID_ARGUMENT);
    error.addProperty("message", message);
    return error;
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }
}

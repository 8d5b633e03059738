package org.chicorylane.internal.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.chicorylane.internal.relay.generated.RelayFrame;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * The connection to one instance. It is opened for the first question, and opened again for the
 * first question after a loss.
 *
 * <p>State is confined to the event loop; {@link #ask} and {@link #close} may be called from any
 * thread.
 */
final class RelayConnection {
  /** Unanswered questions at which the connection rejects further ones. */
  private static final int MAX_PENDING_QUESTIONS = 20_000;

  private static final RelayResult UNRESPONSIVE =
      new RelayResult.Lost("the connection to the instance fell silent");

  private final PeerAddress peer;
  private final EventLoop loop;
  private final RelayTimings timings;

  private final Map<Long, CompletableFuture<RelayResult>> pending = new HashMap<>();
  private final Queue<RelayFrame> unsent = new ArrayDeque<>();
  private @Nullable Channel channel;
  private boolean connecting;
  private long nextId = 1;

  RelayConnection(PeerAddress peer, EventLoop loop, RelayTimings timings) {
    this.peer = peer;
    this.loop = loop;
    this.timings = timings;
  }

  /**
   * Sends a question, which gets its id here.
   *
   * @return completes with the result, never exceptionally
   */
  CompletableFuture<RelayResult> ask(RelayFrame.Builder question, Duration timeout) {
    CompletableFuture<RelayResult> answer = new CompletableFuture<>();
    loop.execute(() -> send(question, timeout, answer));
    return answer;
  }

  /** Closes the connection, if it is open. */
  void close() {
    loop.execute(
        () -> {
          if (channel != null) {
            channel.close();
          }
        });
  }

  private void send(
      RelayFrame.Builder question, Duration timeout, CompletableFuture<RelayResult> answer) {
    if (pending.size() >= MAX_PENDING_QUESTIONS || (channel != null && !channel.isWritable())) {
      answer.complete(new RelayResult.NotSent("the connection to " + peer + " is full"));
      return;
    }
    long id = nextId++;
    pending.put(id, answer);
    loop.schedule(() -> expire(id), timeout.toMillis(), TimeUnit.MILLISECONDS);
    RelayFrame frame = question.setId(id).build();
    if (channel != null) {
      channel.writeAndFlush(frame, channel.voidPromise());
      return;
    }
    unsent.add(frame);
    connect();
  }

  private void expire(long id) {
    CompletableFuture<RelayResult> late = pending.remove(id);
    if (late == null) {
      return;
    }
    boolean neverSent = unsent.removeIf(f -> f.getId() == id);
    late.complete(
        neverSent
            ? new RelayResult.NotSent("no connection to " + peer)
            : new RelayResult.Lost("no answer of " + peer + " in time"));
  }

  private void connect() {
    if (connecting) {
      return;
    }
    connecting = true;
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(
            ChannelOption.CONNECT_TIMEOUT_MILLIS,
            Math.toIntExact(timings.connectTimeout().toMillis()))
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                long readTimeoutMillis = timings.readTimeout().toMillis();
                long heartbeatMillis = timings.heartbeatInterval().toMillis();
                ch.pipeline()
                    .addLast(
                        new IdleStateHandler(
                            readTimeoutMillis, heartbeatMillis, 0, TimeUnit.MILLISECONDS));
                RelayPipeline.addCodecs(ch.pipeline());
                ch.pipeline().addLast(new ClientHandler());
              }
            })
        .connect(new InetSocketAddress(peer.host(), peer.port()))
        .addListener(
            future -> {
              connecting = false;
              if (!future.isSuccess()) {
                failUnsent(String.valueOf(future.cause()));
              }
            });
  }

  private void failUnsent(String reason) {
    for (RelayFrame frame : unsent) {
      CompletableFuture<RelayResult> answer = pending.remove(frame.getId());
      if (answer != null) {
        answer.complete(new RelayResult.NotSent("no connection to " + peer + ": " + reason));
      }
    }
    unsent.clear();
  }

  private void failPending(RelayResult result) {
    channel = null;
    List<CompletableFuture<RelayResult>> answers = new ArrayList<>(pending.values());
    pending.clear();
    unsent.clear();
    answers.forEach(a -> a.complete(result));
  }

  /** Receives answers, sends pings, and closes a connection that receives nothing. */
  private final class ClientHandler extends SimpleChannelInboundHandler<RelayFrame> {
    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      for (RelayFrame frame : unsent) {
        ctx.write(frame, ctx.voidPromise());
      }
      unsent.clear();
      ctx.flush();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, RelayFrame frame) {
      CompletableFuture<RelayResult> answer = pending.remove(frame.getId());
      if (answer != null) {
        answer.complete(new RelayResult.Answered(frame));
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (!(event instanceof IdleStateEvent idle)) {
        ctx.fireUserEventTriggered(event);
        return;
      }
      if (idle.state() == IdleState.WRITER_IDLE) {
        // Pings keep devices on the path to the instance from dropping an idle connection.
        ctx.writeAndFlush(RelayFrame.newBuilder().setPing(true).build(), ctx.voidPromise());
      } else if (idle.state() == IdleState.READER_IDLE) {
        Logger.warn(
            "closing relay connection to {}: no data received within the read timeout", peer);
        failPending(UNRESPONSIVE);
        ctx.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (channel == ctx.channel()) {
        failPending(new RelayResult.Lost("the connection to " + peer + " was closed"));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      Logger.warn("closing relay connection to {} after an error: {}", peer, cause.toString());
      ctx.close();
    }
  }
}

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
 * The connection to one instance, opened again when it is needed after a loss.
 *
 * <p>State is touched on the event loop only; {@link #ask} may be called from any thread.
 */
final class RelayConnection {
  /** Questions without an answer that one connection carries. */
  private static final int MAX_PENDING = 20_000;

  private static final RelayResult SILENT =
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

  CompletableFuture<RelayResult> ask(RelayFrame.Builder question, Duration timeout) {
    CompletableFuture<RelayResult> answer = new CompletableFuture<>();
    loop.execute(() -> send(question, timeout, answer));
    return answer;
  }

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
    if (pending.size() >= MAX_PENDING || (channel != null && !channel.isWritable())) {
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
                long silence = timings.silenceLimit().toMillis();
                long heartbeat = timings.heartbeatInterval().toMillis();
                ch.pipeline()
                    .addLast(new IdleStateHandler(silence, heartbeat, 0, TimeUnit.MILLISECONDS));
                RelayPipeline.addCodecs(ch.pipeline());
                ch.pipeline().addLast(new ClientHandler());
              }
            })
        .connect(new InetSocketAddress(peer.host(), peer.port()))
        .addListener(
            f -> {
              connecting = false;
              if (!f.isSuccess()) {
                failUnsent(String.valueOf(f.cause()));
              }
            });
  }

  private void failUnsent(String reason) {
    for (RelayFrame f : unsent) {
      CompletableFuture<RelayResult> answer = pending.remove(f.getId());
      if (answer != null) {
        answer.complete(new RelayResult.NotSent("no connection to " + peer + ": " + reason));
      }
    }
    unsent.clear();
  }

  private void lost(RelayResult why) {
    channel = null;
    List<CompletableFuture<RelayResult>> all = new ArrayList<>(pending.values());
    pending.clear();
    unsent.clear();
    all.forEach(a -> a.complete(why));
  }

  /** Receives answers and watches for silence. */
  private final class ClientHandler extends SimpleChannelInboundHandler<RelayFrame> {
    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      for (RelayFrame f : unsent) {
        ctx.write(f, ctx.voidPromise());
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
        // Pings keep an idle connection known to what lies between the two ends.
        ctx.writeAndFlush(RelayFrame.newBuilder().setPing(true).build(), ctx.voidPromise());
      } else if (idle.state() == IdleState.READER_IDLE) {
        Logger.warn("relay connection to {} fell silent and is closed", peer);
        lost(SILENT);
        ctx.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (channel == ctx.channel()) {
        lost(new RelayResult.Lost("the connection to " + peer + " was closed"));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      Logger.warn("relay connection to {} closed: {}", peer, cause.toString());
      ctx.close();
    }
  }
}

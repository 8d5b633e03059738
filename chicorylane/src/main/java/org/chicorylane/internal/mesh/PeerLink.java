package org.chicorylane.internal.mesh;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.chicorylane.internal.mesh.generated.MeshAbandon;
import org.chicorylane.internal.mesh.generated.MeshAnswer;
import org.chicorylane.internal.mesh.generated.MeshConfiguration;
import org.chicorylane.internal.mesh.generated.MeshFrame;
import org.chicorylane.internal.mesh.generated.MeshPing;
import org.chicorylane.internal.mesh.generated.MeshQuestion;
import org.chicorylane.internal.mesh.generated.MeshReply;
import org.chicorylane.internal.pool.Work;
import org.chicorylane.internal.runtime.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * This instance's connection to another one: carries statements to a home and questions to a peer,
 * and notices when the other side stops answering. Opens again when it is used after a loss.
 *
 * <p>Confined to the instance's thread.
 */
public final class PeerLink {

  /** Quiet time after which a link that waits for something, or is watched, is tested. */
  private static final long QUIET_NANOS = Duration.ofMillis(250).toNanos();

  /** Time within which the test must be answered. */
  private static final long PING_TIMEOUT_NANOS = Duration.ofMillis(450).toNanos();

  private static final Duration TICK = Duration.ofMillis(100);

  /** Least pause between two attempts to connect. */
  private static final long CONNECT_PAUSE_NANOS = Duration.ofMillis(100).toNanos();

  /** Takes the outcome of a statement that was sent. */
  public interface WorkResultHandler {
    /** The home answered. */
    void onAnswer(MeshAnswer answer);

    /** The link was lost; {@code sent} if the statement may have reached the home. */
    void onLost(boolean sent);
  }

  /** Takes the reply to a question. */
  public interface ReplyHandler {
    /** The reply, or null if none came in time; {@code refused} if the process is not running. */
    void onReply(@Nullable MeshReply reply, boolean refused);
  }

  /** Follows the state of links. */
  public interface LinkListener {
    /** The other side does not answer, or its process is not running if {@code refused}. */
    void onLost(String address, boolean refused);

    /** The other side answered. */
    void onHeard(String address);

    /** The other side has configuration {@code version}. */
    void onPeerVersion(PeerLink link, long version);

    /** The other side sent a configuration. */
    void onConfiguration(String text);
  }

  private record Call(@Nullable WorkResultHandler outcome, @Nullable ReplyHandler reply) {}

  private final String address;
  private final MeshTransport transport;
  private final Scheduler scheduler;
  private final LongSupplier configurationVersion;
  private final LinkListener listener;
  private final Map<Long, Call> calls = new HashMap<>();
  private final Deque<MeshFrame> unsent = new ArrayDeque<>();
  private final Scheduler.Timer ticker;
  private @Nullable MeshChannel channel;
  private boolean connecting;
  private boolean watched;
  private long nextCall;
  private long lastHeardNanos;
  private long pingSentNanos;
  private long lastConnectNanos;

  /**
   * Creates a link that is not yet open.
   *
   * @param configurationVersion tells the version of this instance's configuration
   */
  public PeerLink(
      String address,
      MeshTransport transport,
      Scheduler scheduler,
      LongSupplier configurationVersion,
      LinkListener listener) {
    this.address = address;
    this.transport = transport;
    this.scheduler = scheduler;
    this.configurationVersion = configurationVersion;
    this.listener = listener;
    this.lastConnectNanos = scheduler.nanoTime() - CONNECT_PAUSE_NANOS;
    this.ticker = scheduler.repeat(TICK, this::tick);
  }

  /** Returns the other side's address. */
  public String address() {
    return address;
  }

  /** Says whether the link should be kept open and tested even when nothing is sent. */
  public void watch(boolean keepWatching) {
    watched = keepWatching;
    if (watched) {
      connect();
    }
  }

  /** Returns whether the other side answered within the last {@code age}. */
  public boolean heardWithin(Duration age) {
    return channel != null && scheduler.nanoTime() - lastHeardNanos <= age.toNanos();
  }

  /** Sends a statement. */
  public long sendWork(String group, Work work, WorkResultHandler outcome) {
    long call = ++nextCall;
    calls.put(call, new Call(outcome, null));
    send(MeshFrame.newBuilder().setWork(MeshCodec.encodeWork(call, group, work)).build());
    return call;
  }

  /** Forgets a statement whose time is over; its answer is ignored. */
  public void forget(long call) {
    calls.remove(call);
  }

  /** Gives up a transaction. */
  public void sendAbandon(String group, long transaction) {
    if (channel != null) {
      send(
          MeshFrame.newBuilder()
              .setAbandon(MeshAbandon.newBuilder().setGroup(group).setTransaction(transaction))
              .build());
    }
  }

  /** Sends a configuration. */
  public void sendConfiguration(String text) {
    send(
        MeshFrame.newBuilder()
            .setConfiguration(MeshConfiguration.newBuilder().setText(text))
            .build());
  }

  /** Asks a question; the handler is told null if no reply comes within {@code timeout}. */
  public void ask(MeshQuestion.Builder question, Duration timeout, ReplyHandler handler) {
    long call = ++nextCall;
    calls.put(call, new Call(null, handler));
    scheduler.schedule(
        timeout,
        () -> {
          if (calls.remove(call) != null) {
            handler.onReply(null, false);
          }
        });
    send(MeshFrame.newBuilder().setQuestion(question.setCall(call)).build());
  }

  /** Closes the link for good. */
  public void close() {
    ticker.cancel();
    watched = false;
    MeshChannel c = channel;
    lose(false, true);
    if (c != null) {
      c.close();
    }
  }

  private void send(MeshFrame frame) {
    MeshChannel c = channel;
    if (c != null) {
      c.send(frame);
      return;
    }
    unsent.add(frame);
    connect();
  }

  private void connect() {
    if (channel != null || connecting) {
      return;
    }
    connecting = true;
    long wait = lastConnectNanos + CONNECT_PAUSE_NANOS - scheduler.nanoTime();
    if (wait > 0) {
      scheduler.schedule(Duration.ofNanos(wait), this::open);
    } else {
      open();
    }
  }

  private void open() {
    lastConnectNanos = scheduler.nanoTime();
    transport.connect(address, new ChannelListener());
  }

  private void tick() {
    MeshChannel c = channel;
    if (c == null) {
      if (watched) {
        connect();
      }
      return;
    }
    long now = scheduler.nanoTime();
    if (pingSentNanos > 0) {
      if (now - pingSentNanos > PING_TIMEOUT_NANOS) {
        c.close();
        listener.onLost(address, false);
        lose(false, true);
      }
    } else if (now - lastHeardNanos > quietLimit()) {
      pingSentNanos = now;
      c.send(
          MeshFrame.newBuilder()
              .setPing(
                  MeshPing.newBuilder().setConfigurationVersion(configurationVersion.getAsLong()))
              .build());
    }
  }

  private long quietLimit() {
    if (!calls.isEmpty()) {
      return QUIET_NANOS;
    }
    return watched ? 2 * QUIET_NANOS : Long.MAX_VALUE;
  }

  private void lose(boolean refused, boolean sent) {
    channel = null;
    pingSentNanos = 0;
    List<Call> lost = new ArrayList<>(calls.values());
    calls.clear();
    unsent.clear();
    for (Call call : lost) {
      if (call.outcome() != null) {
        call.outcome().onLost(sent);
      }
      if (call.reply() != null) {
        call.reply().onReply(null, refused);
      }
    }
  }

  private void onFrame(MeshFrame frame) {
    lastHeardNanos = scheduler.nanoTime();
    switch (frame.getBodyCase()) {
      case ANSWER -> {
        Call call = calls.remove(frame.getAnswer().getCall());
        if (call != null && call.outcome() != null) {
          call.outcome().onAnswer(frame.getAnswer());
        }
      }
      case REPLY -> {
        Call call = calls.remove(frame.getReply().getCall());
        if (call != null && call.reply() != null) {
          call.reply().onReply(frame.getReply(), false);
        }
      }
      case PONG -> {
        pingSentNanos = 0;
        listener.onHeard(address);
        listener.onPeerVersion(this, frame.getPong().getConfigurationVersion());
      }
      case CONFIGURATION -> listener.onConfiguration(frame.getConfiguration().getText());
      default -> {
        // The other kinds of frame only come in the other direction.
      }
    }
  }

  /** Follows the present connection. */
  private final class ChannelListener implements MeshTransport.Listener {
    private @Nullable MeshChannel mine;

    @Override
    public void onOpen(MeshChannel opened) {
      mine = opened;
      connecting = false;
      channel = opened;
      lastHeardNanos = scheduler.nanoTime();
      pingSentNanos = 0;
      for (MeshFrame frame = unsent.poll(); frame != null; frame = unsent.poll()) {
        opened.send(frame);
      }
      listener.onHeard(address);
    }

    @Override
    public void onFailure(boolean refused) {
      connecting = false;
      listener.onLost(address, refused);
      lose(refused, false);
    }

    @Override
    public void onFrame(MeshFrame frame) {
      if (channel == mine) {
        PeerLink.this.onFrame(frame);
      }
    }

    @Override
    public void onClosed() {
      if (channel == mine) {
        lose(false, true);
        if (watched) {
          connect();
        }
      }
    }
  }
}

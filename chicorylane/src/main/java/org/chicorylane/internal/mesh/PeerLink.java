package org.chicorylane.internal.mesh;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.chicorylane.internal.mesh.generated.MeshAbandon;
import org.chicorylane.internal.mesh.generated.MeshAnswer;
import org.chicorylane.internal.mesh.generated.MeshConfiguration;
import org.chicorylane.internal.mesh.generated.MeshFrame;
import org.chicorylane.internal.mesh.generated.MeshPing;
import org.chicorylane.internal.mesh.generated.MeshQuestion;
import org.chicorylane.internal.mesh.generated.MeshReply;
import org.chicorylane.internal.mesh.generated.MeshWork;
import org.chicorylane.internal.pool.Work;
import org.chicorylane.internal.runtime.AttentionClock;
import org.chicorylane.internal.runtime.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * This instance's connection to a peer. It carries statements to a home and questions to any peer,
 * and detects with pings that the peer has stopped responding. After a loss it connects again when
 * it is used.
 *
 * <p>Confined to the instance's thread.
 */
public final class PeerLink {

  /** Time without a frame after which a link with pending calls sends a ping. */
  private static final long PING_DELAY_NANOS = Duration.ofMillis(250).toNanos();

  /**
   * Time without a frame after which a link sends a ping that is monitored, or has only patient
   * calls pending.
   */
  private static final long IDLE_PING_DELAY_NANOS = Duration.ofSeconds(2).toNanos();

  /** Time within which the peer must answer a ping, or send anything, to count as responding. */
  private static final long PING_TIMEOUT_NANOS = Duration.ofMillis(450).toNanos();

  /**
   * Time after a ping without an answer after which the link is closed and its calls have failed.
   * Until then a peer that is only slow can still answer them.
   */
  private static final long CLOSE_TIMEOUT_NANOS = Duration.ofMillis(1_500).toNanos();

  /** Time after the start of a peer's new work during which it may answer pings late. */
  private static final long STARTING_NANOS = Duration.ofSeconds(5).toNanos();

  /** Minimum time between two attempts to connect. */
  private static final long RECONNECT_DELAY_NANOS = Duration.ofMillis(100).toNanos();

  /**
   * Time after a ping after which a monitored link sends the next one though frames arrive. Pings
   * carry the configuration's version in both directions.
   */
  private static final long VERSION_EXCHANGE_NANOS = Duration.ofSeconds(1).toNanos();

  /** Receives the result of a statement. */
  public interface WorkResultHandler {
    /** Called with the home's answer. */
    void onAnswer(MeshAnswer answer);

    /** Called when the link was lost; {@code sent} if the statement may have reached the home. */
    void onLost(boolean sent);
  }

  /** Receives the reply to a question. */
  public interface ReplyHandler {
    /**
     * Called once.
     *
     * @param reply null if none arrived in time or the link was lost
     * @param sent whether the question may have reached the peer
     */
    void onReply(@Nullable MeshReply reply, boolean sent);
  }

  /** Receives the events of links. */
  public interface LinkListener {
    /**
     * Called when connecting failed or the peer did not answer a ping. In the second case the link
     * is still open, and its calls may be answered late.
     *
     * @param refused whether the connection was refused; the peer may run behind a partition that
     *     refuses connections
     */
    void onLost(String address, boolean refused);

    /** Called when the link was opened or the peer answered a ping. */
    void onResponse(String address);

    /** Called with the configuration version that the peer reports. */
    void onPeerConfigurationVersion(PeerLink link, long version);

    /** Called when the peer sent a configuration, as the store holds it. */
    void onConfiguration(String text);
  }

  /**
   * A call without an answer yet.
   *
   * @param isPatient whether the peer may take long to answer, so that the link counts as idle
   */
  private record Call(
      @Nullable WorkResultHandler workHandler,
      @Nullable ReplyHandler replyHandler,
      boolean isPatient) {}

  /**
   * A frame that waits for the link to open.
   *
   * @param queuedNanos the time at which it began to wait
   */
  private record UnsentFrame(MeshFrame frame, long queuedNanos) {

    /** Returns whether the frame carries a statement of the transaction. */
    boolean isOfTransaction(String group, long transaction) {
      return frame.hasWork()
          && frame.getWork().getTransaction() == transaction
          && frame.getWork().getGroup().equals(group);
    }

    /**
     * Returns the frame to be sent now; a statement's limits are reduced by its wait.
     *
     * @param nowNanos the time, comparable with {@code queuedNanos}
     * @param sentMillis the time that the frame is to carry
     */
    MeshFrame after(long nowNanos, long sentMillis) {
      int waitedMillis = (int) ((nowNanos - queuedNanos) / 1_000_000);
      if (!frame.hasWork() || waitedMillis == 0) {
        return frame;
      }
      return MeshFrame.newBuilder()
          .setWork(MeshCodec.afterWaiting(frame.getWork(), waitedMillis, sentMillis))
          .build();
    }
  }

  private final String address;
  private final MeshTransport transport;
  private final Scheduler scheduler;
  private final AttentionClock attention;
  private final LongSupplier configurationVersion;
  private final LinkListener listener;
  private final Map<Long, Call> calls = new HashMap<>();
  private final Deque<UnsentFrame> unsent = new ArrayDeque<>();
  private final List<ResponseCheck> responseChecks = new ArrayList<>();
  private @Nullable MeshChannel channel;
  private boolean connecting;
  private boolean monitored;
  private long nextCall;
  private long lastFrameNanos;

  /** Attentive time at which a ping was sent that has no answer yet. */
  private long pingSentNanos;

  private boolean pingSent;

  /** Time at which the last ping was sent. */
  private long lastPingNanos;

  /** Whether the peer was reported as lost because it did not answer that ping. */
  private boolean silent;

  /** Time up to which the peer counts as starting. */
  private long startingEndNanos;

  private long lastConnectNanos;

  /**
   * Creates a link that is not open yet.
   *
   * @param address the peer's host and port
   * @param attention measures how long the peer has been silent
   * @param configurationVersion returns the version of this instance's configuration
   */
  public PeerLink(
      String address,
      MeshTransport transport,
      Scheduler scheduler,
      AttentionClock attention,
      LongSupplier configurationVersion,
      LinkListener listener) {
    this.address = address;
    this.transport = transport;
    this.scheduler = scheduler;
    this.attention = attention;
    this.configurationVersion = configurationVersion;
    this.listener = listener;
    this.lastConnectNanos = scheduler.nanoTime() - RECONNECT_DELAY_NANOS;
    this.startingEndNanos = scheduler.nanoTime();
    this.lastPingNanos = scheduler.nanoTime();
  }

  /** Returns the peer's address. */
  public String address() {
    return address;
  }

  /**
   * Sets whether the link is kept open and tested with pings while no call is pending. A link that
   * is no longer monitored is closed if its peer is silent, so that its calls can be sent
   * elsewhere.
   */
  public void setMonitored(boolean monitor) {
    monitored = monitor;
    if (monitored) {
      connect();
    } else if (silent) {
      closeSilent();
    }
  }

  /**
   * Lets the peer answer pings late for a while, because it has just become the home of a group. A
   * process that has also just started is slow, and another one in its place would be as well.
   */
  public void expectLateAnswers() {
    startingEndNanos = scheduler.nanoTime() + STARTING_NANOS;
  }

  /**
   * Checks whether the peer responds: it did within {@code age}, or answers a ping in time.
   *
   * @param timeout the longest wait for the answer
   */
  public void checkResponse(Duration age, Duration timeout, Consumer<Boolean> outcome) {
    if (channel != null && scheduler.nanoTime() - lastFrameNanos <= age.toNanos()) {
      outcome.accept(true);
      return;
    }
    ResponseCheck check = new ResponseCheck(outcome);
    responseChecks.add(check);
    scheduler.schedule(timeout, () -> check.finish(false));
    if (channel == null) {
      connect();
    } else if (!pingSent) {
      sendPing(channel);
    }
  }

  /**
   * Sends a statement.
   *
   * @return the number of the call
   */
  public long sendWork(String group, Work work, WorkResultHandler handler) {
    long call = ++nextCall;
    calls.put(call, new Call(handler, null, false));
    MeshWork message = MeshCodec.encodeWork(call, group, work, sentMillis());
    send(MeshFrame.newBuilder().setWork(message).build());
    return call;
  }

  /** Returns the time that a frame carries which is sent now. */
  private long sentMillis() {
    return scheduler.waitNanoTime() / 1_000_000;
  }

  /** Removes a statement whose time has run out; a later answer is ignored. */
  public void forget(long call) {
    calls.remove(call);
  }

  /**
   * Abandons a transaction. Its statements are not sent if the link is not open yet; the peer
   * abandons the transactions of a closed connection itself.
   */
  public void sendAbandon(String group, long transaction) {
    if (channel == null) {
      unsent.removeIf(waiting -> waiting.isOfTransaction(group, transaction));
    } else {
      send(
          MeshFrame.newBuilder()
              .setAbandon(MeshAbandon.newBuilder().setGroup(group).setTransaction(transaction))
              .build());
    }
  }

  /**
   * Abandons a single statement: it is not sent if the link is not open yet, and otherwise the peer
   * drops it unless it has sent it to a server. A later answer is ignored.
   */
  public void sendAbandonCall(String group, long call) {
    calls.remove(call);
    if (channel == null) {
      unsent.removeIf(u -> u.frame().hasWork() && u.frame().getWork().getCall() == call);
    } else {
      send(
          MeshFrame.newBuilder()
              .setAbandon(MeshAbandon.newBuilder().setGroup(group).setCall(call))
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

  /** Asks a question. The handler gets null if no reply arrives within {@code timeout}. */
  public void ask(MeshQuestion.Builder question, Duration timeout, ReplyHandler handler) {
    sendQuestion(question, timeout, new Call(null, handler, false));
  }

  /**
   * Asks a question that the peer answers when something happens. The link is tested with pings as
   * if it were monitored, until the reply arrives.
   */
  public void askPatiently(MeshQuestion.Builder question, Duration timeout, ReplyHandler handler) {
    sendQuestion(question, timeout, new Call(null, handler, true));
  }

  private void sendQuestion(MeshQuestion.Builder question, Duration timeout, Call pending) {
    long call = ++nextCall;
    calls.put(call, pending);
    scheduler.schedule(
        timeout,
        () -> {
          ReplyHandler handler = pending.replyHandler();
          if (calls.remove(call) != null && handler != null) {
            handler.onReply(null, true);
          }
        });
    send(MeshFrame.newBuilder().setQuestion(question.setCall(call)).build());
  }

  /** Closes the link permanently and fails the pending calls. */
  public void close() {
    monitored = false;
    MeshChannel c = channel;
    failCalls(true);
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
    unsent.add(new UnsentFrame(frame, scheduler.nanoTime()));
    connect();
  }

  private void connect() {
    if (channel != null || connecting) {
      return;
    }
    connecting = true;
    long delayNanos = lastConnectNanos + RECONNECT_DELAY_NANOS - scheduler.nanoTime();
    if (delayNanos > 0) {
      scheduler.schedule(Duration.ofNanos(delayNanos), this::open);
    } else {
      open();
    }
  }

  private void open() {
    lastConnectNanos = scheduler.nanoTime();
    transport.connect(address, new ChannelListener());
  }

  /**
   * Sends a ping if one is due, closes the link if the last one was not answered in time, and opens
   * a monitored link that is closed; called at short intervals.
   */
  void tick() {
    MeshChannel c = channel;
    if (c == null) {
      if (monitored) {
        connect();
      }
      return;
    }
    long now = scheduler.nanoTime();
    if (pingSent) {
      checkSilence();
    } else if (now - lastFrameNanos > pingDelayNanos() || isVersionExchangeDue(now)) {
      sendPing(c);
    }
  }

  private boolean isVersionExchangeDue(long now) {
    return monitored && now - lastPingNanos > VERSION_EXCHANGE_NANOS;
  }

  /** Reports a peer that does not answer as lost, and closes the link some time later. */
  private void checkSilence() {
    long silenceNanos = attention.nanoTime() - pingSentNanos;
    boolean isStarting = scheduler.nanoTime() < startingEndNanos;
    if (!silent && silenceNanos > (isStarting ? CLOSE_TIMEOUT_NANOS : PING_TIMEOUT_NANOS)) {
      silent = true;
      listener.onLost(address, false);
    }
    if (silent && silenceNanos > CLOSE_TIMEOUT_NANOS) {
      closeSilent();
    }
  }

  private void closeSilent() {
    MeshChannel c = channel;
    failCalls(true);
    if (c != null) {
      c.close();
    }
  }

  private void sendPing(MeshChannel c) {
    pingSent = true;
    pingSentNanos = attention.nanoTime();
    lastPingNanos = scheduler.nanoTime();
    c.send(
        MeshFrame.newBuilder()
            .setPing(
                MeshPing.newBuilder()
                    .setConfigurationVersion(configurationVersion.getAsLong())
                    .setSentMillis(sentMillis()))
            .build());
  }

  private long pingDelayNanos() {
    for (Call call : calls.values()) {
      if (!call.isPatient()) {
        return PING_DELAY_NANOS;
      }
    }
    return monitored || !calls.isEmpty() ? IDLE_PING_DELAY_NANOS : Long.MAX_VALUE;
  }

  private void failCalls(boolean sent) {
    channel = null;
    pingSent = false;
    silent = false;
    unsent.clear();
    List<Call> lost = new ArrayList<>(calls.values());
    calls.clear();
    finishResponseChecks(false);
    for (Call call : lost) {
      if (call.workHandler() != null) {
        call.workHandler().onLost(sent);
      }
      if (call.replyHandler() != null) {
        call.replyHandler().onReply(null, sent);
      }
    }
  }

  private void finishResponseChecks(boolean responded) {
    if (!responseChecks.isEmpty()) {
      List<ResponseCheck> finished = List.copyOf(responseChecks);
      finished.forEach(check -> check.finish(responded));
    }
  }

  private void onFrame(MeshFrame frame) {
    lastFrameNanos = scheduler.nanoTime();
    pingSent = false;
    if (silent) {
      silent = false;
      listener.onResponse(address);
    }
    finishResponseChecks(true);
    switch (frame.getBodyCase()) {
      case ANSWER -> {
        Call call = calls.remove(frame.getAnswer().getCall());
        if (call != null && call.workHandler() != null) {
          call.workHandler().onAnswer(frame.getAnswer());
        }
      }
      case REPLY -> {
        Call call = calls.remove(frame.getReply().getCall());
        if (call != null && call.replyHandler() != null) {
          call.replyHandler().onReply(frame.getReply(), true);
        }
      }
      case PONG -> {
        listener.onResponse(address);
        listener.onPeerConfigurationVersion(this, frame.getPong().getConfigurationVersion());
      }
      case CONFIGURATION -> listener.onConfiguration(frame.getConfiguration().getText());
      default -> {
        // All other kinds of frame are only sent by the side that opened the connection.
      }
    }
  }

  /** A question whether the peer responds that has no answer yet. */
  private final class ResponseCheck {
    private final Consumer<Boolean> outcome;

    ResponseCheck(Consumer<Boolean> outcome) {
      this.outcome = outcome;
    }

    void finish(boolean responded) {
      if (responseChecks.remove(this)) {
        outcome.accept(responded);
      }
    }
  }

  /** Handles one connection; ignores its frames and its end once another has replaced it. */
  private final class ChannelListener implements MeshTransport.Listener {
    private @Nullable MeshChannel own;

    @Override
    public void onOpen(MeshChannel opened) {
      own = opened;
      connecting = false;
      channel = opened;
      lastFrameNanos = scheduler.nanoTime();
      pingSent = false;
      silent = false;
      for (UnsentFrame next = unsent.poll(); next != null; next = unsent.poll()) {
        opened.send(next.after(lastFrameNanos, sentMillis()));
      }
      finishResponseChecks(true);
      listener.onResponse(address);
    }

    @Override
    public void onFailure(boolean refused) {
      connecting = false;
      listener.onLost(address, refused);
      failCalls(false);
    }

    @Override
    public void onFrame(MeshFrame frame) {
      if (channel == own) {
        PeerLink.this.onFrame(frame);
      }
    }

    @Override
    public void onClosed() {
      if (channel == own) {
        failCalls(true);
        if (monitored) {
          connect();
        }
      }
    }
  }
}

package org.chicorylane.standin.wire;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * A database server with a log of its own, on a loopback port that it keeps through crashes and
 * replacements. Its state is guarded by the lock of its group.
 */
public final class ReplicatedServer implements AutoCloseable {

  private static final int SLOTS = 3;

  private static final int BACKLOG = 64;

  /** How long a replica refuses work after it was rolled back. */
  private static final long ROLLBACK_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** How long a replaced primary continues after it can reach the new one. */
  private static final long REPLACED_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** The longest wait for the port of a server that has crashed. */
  private static final long PORT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final long PORT_RETRY_MILLIS = 20;

  private final ReplicatedGroup group;
  private final int port;
  private final AnswerFaults faults;
  private final Semaphore slots = new Semaphore(SLOTS);
  private final List<Socket> sockets = new ArrayList<>();
  private final List<LogEntry> log = new ArrayList<>();

  /** Number of log entries up to and including the one that holds the request id. */
  private final Map<String, Integer> lengthByRequestId = new HashMap<>();

  private @Nullable ServerSocket listener;
  private String id;
  private boolean primary;
  private long term = 1;
  private long sealedTerm;
  private int applied;
  private boolean frozen;
  private boolean isolated;
  private int incarnation;
  private long busyUntilNanos;
  private long replacedSinceNanos;
  private long deliveryNanos = TimeUnit.MILLISECONDS.toNanos(3);
  private long applyNanos = TimeUnit.MILLISECONDS.toNanos(10);

  ReplicatedServer(ReplicatedGroup group, String id, boolean primary, int port) throws IOException {
    this.group = group;
    this.id = id;
    this.primary = primary;
    this.port = port;
    this.faults = new AnswerFaults(id.hashCode());
    append(List.of());
    applied = 1;
    listen();
  }

  /** Returns host and port, separated by a colon. */
  public String address() {
    return "127.0.0.1:" + port;
  }

  /** Returns the id, which changes when the server is replaced. */
  public String id() {
    synchronized (group) {
      return id;
    }
  }

  /** Returns what the server does wrong with its answers. */
  public AnswerFaults faults() {
    return faults;
  }

  /** Returns the group. */
  public ReplicatedGroup group() {
    return group;
  }

  /** Returns whether the server holds itself for the primary. */
  public boolean isPrimary() {
    synchronized (group) {
      return primary;
    }
  }

  /** Returns whether the process of the server runs; it may be frozen. */
  public boolean isRunning() {
    synchronized (group) {
      return listener != null;
    }
  }

  /** Returns whether the process of the server runs and is not frozen. */
  public boolean answers() {
    synchronized (group) {
      return listener != null && !frozen;
    }
  }

  /** Returns whether the server has received the commit that holds a request id. */
  public boolean hasReceived(String requestId) {
    synchronized (group) {
      return lengthByRequestId.containsKey(requestId);
    }
  }

  /** Returns whether the log of the server holds an entry. */
  public boolean holds(LogEntry entry) {
    synchronized (group) {
      return entry.number() <= log.size() && log.get((int) entry.number() - 1) == entry;
    }
  }

  /** Returns whether reads on the server see the commit that holds a request id. */
  public boolean sees(String requestId) {
    synchronized (group) {
      return lengthByRequestId.getOrDefault(requestId, Integer.MAX_VALUE) <= visibleLength();
    }
  }

  /** Returns role, term, log end and condition of the server for a report. */
  public String describe() {
    synchronized (group) {
      String condition = listener == null ? "down" : frozen ? "frozen" : "runs";
      String sealed = sealedTerm > 0 ? " sealed for " + sealedTerm : "";
      return id
          + " "
          + role()
          + " of "
          + term
          + " at "
          + end().position()
          + " "
          + condition
          + sealed;
    }
  }

  /** Sets how long a commit takes to reach this server and then to be applied. */
  public void setDelays(long newDeliveryMillis, long newApplyMillis) {
    synchronized (group) {
      deliveryNanos = TimeUnit.MILLISECONDS.toNanos(newDeliveryMillis);
      applyNanos = TimeUnit.MILLISECONDS.toNanos(newApplyMillis);
    }
  }

  /** Sets whether the server reads and answers nothing, while its connections stay open. */
  public void setFrozen(boolean newFrozen) {
    synchronized (group) {
      frozen = newFrozen;
      group.notifyAll();
    }
  }

  /** Sets whether the server is cut off from the other servers of the group. */
  public void setIsolated(boolean newIsolated) {
    synchronized (group) {
      isolated = newIsolated;
    }
  }

  /** Ends the process of the server; its log remains. */
  public void crash() throws IOException {
    synchronized (group) {
      ServerSocket open = listener;
      if (open == null) {
        return;
      }
      listener = null;
      incarnation++;
      open.close();
      closeSockets();
      group.notifyAll();
    }
  }

  /**
   * Starts the process of the server again with its log, as a replica if another server was
   * promoted.
   *
   * @param newId the id of the new process
   */
  public void restart(String newId) throws IOException {
    synchronized (group) {
      if (listener != null) {
        return;
      }
      id = newId;
      frozen = false;
      sealedTerm = 0;
      replacedSinceNanos = 0;
      primary = primary && term == group.term();
      listenAgain();
    }
  }

  @Override
  public void close() throws IOException {
    crash();
  }

  /**
   * Listens once the port is free. A thread that waited in {@code accept}, or a process that is
   * being started, holds the previous listener for a moment longer.
   */
  private void listenAgain() throws IOException {
    long end = System.nanoTime() + PORT_NANOS;
    while (listener == null) {
      try {
        listen();
      } catch (BindException e) {
        if (System.nanoTime() > end) {
          throw e;
        }
        awaitRetry();
      }
    }
  }

  private void awaitRetry() throws IOException {
    try {
      group.wait(PORT_RETRY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new InterruptedIOException("interrupted while " + id + " waited for its port " + port);
    }
  }

  private void listen() throws IOException {
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    try {
      opened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
    } catch (BindException e) {
      opened.close();
      throw e;
    }
    listener = opened;
    group.execute(() -> accept(opened));
  }

  private void accept(ServerSocket opened) {
    try {
      while (true) {
        Socket socket = opened.accept();
        synchronized (group) {
          if (!opened.equals(listener)) {
            socket.close();
            return;
          }
          sockets.add(socket);
        }
        group.execute(new ReplicatedConnection(this, socket));
      }
    } catch (IOException e) {
      // crash() closed the listener, so no connection follows.
      return;
    }
  }

  // The following methods are called with the lock of the group held.

  void closeSockets() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    sockets.clear();
  }

  void remove(Socket socket) {
    sockets.remove(socket);
  }

  int connections() {
    return sockets.size();
  }

  Semaphore slots() {
    return slots;
  }

  int incarnation() {
    return incarnation;
  }

  boolean isFrozen() {
    return frozen;
  }

  /** Returns whether the server runs and exchanges log with other servers. */
  boolean replicates() {
    return answers() && !isolated;
  }

  boolean isBusy() {
    return System.nanoTime() < busyUntilNanos;
  }

  long term() {
    return term;
  }

  LogEntry end() {
    return log.get(log.size() - 1);
  }

  LogEntry visibleEnd() {
    return log.get(visibleLength() - 1);
  }

  private int visibleLength() {
    return primary ? log.size() : applied;
  }

  private String role() {
    return primary ? "primary" : "replica";
  }

  String statusRow() {
    long lagNanos = applied < log.size() ? System.nanoTime() - log.get(applied).appendedNanos() : 0;
    return String.join(
        " ",
        role(),
        Long.toString(term),
        end().position(),
        Long.toString(sealedTerm),
        Long.toString(primary ? 0 : TimeUnit.NANOSECONDS.toMillis(lagNanos)),
        Integer.toString(SLOTS - slots.availablePermits()),
        Integer.toString(connections()));
  }

  /** Takes over the first entry of another server's log in place of its own. */
  void startFrom(ReplicatedServer first) {
    log.set(0, first.log.get(0));
  }

  LogEntry append(List<String> requestIds) {
    LogEntry entry = new LogEntry(term, log.size() + 1, requestIds, System.nanoTime());
    add(entry);
    return entry;
  }

  private void add(LogEntry entry) {
    log.add(entry);
    entry.requestIds().forEach(r -> lengthByRequestId.put(r, log.size()));
  }

  void seal(long newTerm) {
    if (!primary && newTerm > term) {
      sealedTerm = newTerm;
    }
  }

  void unseal() {
    sealedTerm = 0;
  }

  void promote(long newTerm) {
    primary = true;
    term = newTerm;
    sealedTerm = 0;
    replacedSinceNanos = 0;
  }

  /** Becomes a replica; connections with open commits end because their outcome is unknown. */
  void stepDown() throws IOException {
    primary = false;
    applied = log.size();
    replacedSinceNanos = 0;
    closeSockets();
    group.notifyAll();
  }

  /** Steps down a while after this primary has found one of a later term. */
  void stepDownIfReplaced(boolean reachesLaterPrimary, long nowNanos) throws IOException {
    if (!primary || !reachesLaterPrimary) {
      replacedSinceNanos = 0;
    } else if (replacedSinceNanos == 0) {
      replacedSinceNanos = nowNanos;
    } else if (nowNanos - replacedSinceNanos > REPLACED_NANOS) {
      stepDown();
    }
  }

  /** Receives from a primary of this or a later term what had time to arrive. */
  void receiveFrom(ReplicatedServer leader, long nowNanos) {
    if (leader.term > term) {
      follow(leader, nowNanos);
    }
    if (leader.term < term || sealedTerm > 0) {
      return;
    }
    while (log.size() < leader.log.size()) {
      LogEntry next = leader.log.get(log.size());
      if (nowNanos - next.appendedNanos() < deliveryNanos) {
        break;
      }
      add(next);
      next.markReceived();
    }
  }

  private void follow(ReplicatedServer leader, long nowNanos) {
    int common = Math.min(log.size(), leader.log.size());
    while (log.get(common - 1) != leader.log.get(common - 1)) {
      common--;
    }
    if (common < log.size()) {
      busyUntilNanos = nowNanos + ROLLBACK_NANOS;
    }
    while (log.size() > common) {
      log.remove(log.size() - 1).requestIds().forEach(lengthByRequestId::remove);
    }
    applied = Math.min(applied, common);
    term = leader.term;
    sealedTerm = 0;
  }

  void apply(long nowNanos) {
    while (applied < log.size()
        && (primary || nowNanos - log.get(applied).appendedNanos() >= deliveryNanos + applyNanos)) {
      applied++;
    }
  }
}

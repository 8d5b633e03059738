package org.chicorylane.standin.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A database group whose servers replicate the primary's log with a delay. A commit is acknowledged
 * once one replica has received it. The lock of this object guards the state of all servers.
 */
public final class ReplicatedGroup implements AutoCloseable {

  private static final int SERVERS = 3;

  /** Shortest time between the call for a promotion and its effect. */
  private static final int MIN_EFFECT_MILLIS = 150;

  private static final int EFFECT_RANGE_MILLIS = 450;

  /** A promotion that was called for and takes effect at a time. */
  private record Order(ReplicatedGroupListener.PromotionCall call, long effectNanos) {}

  private final String name;
  private final Executor executor;
  private final ScheduledExecutorService timer;
  private final ReplicatedGroupListener listener;
  private final Random random;
  private final List<ReplicatedServer> servers = new ArrayList<>();
  private final List<Order> orders = new ArrayList<>();
  private volatile WireRows rows = WireRows.PRINTABLE;

  /**
   * Starts three servers, of which the first is the primary.
   *
   * @param ports reserves the servers' ports
   * @param executor runs the servers' connections
   * @param timer writes late copies of answers
   * @param seed determines the delays of promotions
   */
  ReplicatedGroup(
      String name,
      LoopbackPorts ports,
      Executor executor,
      ScheduledExecutorService timer,
      ReplicatedGroupListener listener,
      long seed)
      throws IOException {
    this.name = name;
    this.executor = executor;
    this.timer = timer;
    this.listener = listener;
    this.random = new Random(seed);
    for (int i = 0; i < SERVERS; i++) {
      String id = name + "-" + (char) ('a' + i) + "-0";
      servers.add(new ReplicatedServer(this, id, i == 0, ports.reserve()));
    }
    // The servers were created with equal first entries; the replicas take over the primary's.
    servers.forEach(s -> s.startFrom(servers.get(0)));
  }

  /** Returns the name of the group. */
  public String name() {
    return name;
  }

  /** Sets the rows of answers to reads. */
  public void setRows(WireRows newRows) {
    rows = newRows;
  }

  WireRows rows() {
    return rows;
  }

  ScheduledExecutorService timer() {
    return timer;
  }

  /** Returns the servers in the order of their creation. */
  public List<ReplicatedServer> servers() {
    return List.copyOf(servers);
  }

  /** Returns the primary of the latest term, which may be down. */
  public synchronized ReplicatedServer primary() {
    return servers.stream().max(Comparator.comparingLong(this::rank)).orElseThrow();
  }

  private long rank(ReplicatedServer server) {
    return 2 * server.term() + (server.isPrimary() ? 1 : 0);
  }

  /** Returns the latest term. */
  synchronized long term() {
    return servers.stream().mapToLong(ReplicatedServer::term).max().orElse(0);
  }

  /**
   * Orders a promotion, which takes effect some hundred milliseconds later. An order for the
   * present primary has no effect.
   *
   * @return whether the server runs
   */
  public synchronized boolean order(ReplicatedGroupListener.PromotionCall call) {
    boolean accepted =
        servers.stream().anyMatch(s -> s.id().equals(call.serverId()) && s.isRunning());
    listener.onPromotionCalled(this, call, accepted);
    if (accepted && !primary().id().equals(call.serverId())) {
      int delayMillis = MIN_EFFECT_MILLIS + random.nextInt(EFFECT_RANGE_MILLIS);
      orders.add(new Order(call, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis)));
    }
    return accepted;
  }

  /** Lets due promotions take effect, and moves log between servers; called every few ms. */
  synchronized void tick() throws IOException {
    long now = System.nanoTime();
    for (Order order : List.copyOf(orders)) {
      if (now >= order.effectNanos()) {
        orders.remove(order);
        promote(order.call());
      }
    }
    List<ReplicatedServer> leaders =
        servers.stream()
            .filter(s -> s.isPrimary() && s.replicates())
            .sorted(Comparator.comparingLong(ReplicatedServer::term).reversed())
            .toList();
    for (ReplicatedServer s : servers) {
      if (s.replicates()) {
        boolean isReplaced = leaders.stream().anyMatch(l -> l.term() > s.term());
        s.stepDownIfReplaced(isReplaced, now);
      }
    }
    leaders.forEach(leader -> replicate(leader, now));
    servers.stream().filter(s -> s.isRunning() && !s.isFrozen()).forEach(s -> s.apply(now));
    notifyAll();
  }

  private void replicate(ReplicatedServer leader, long now) {
    for (ReplicatedServer s : servers) {
      if (!s.isPrimary() && s.replicates()) {
        s.receiveFrom(leader, now);
      }
    }
  }

  private void promote(ReplicatedGroupListener.PromotionCall call) {
    for (ReplicatedServer s : servers) {
      boolean canLead = s.isRunning() && !s.isFrozen() && s != primary();
      if (s.id().equals(call.serverId()) && canLead) {
        listener.onPromotion(s, call);
        s.promote(term() + 1);
      }
    }
  }

  /**
   * Appends a commit to the log of a primary and waits until a replica has received it.
   *
   * @return false if the server has stopped or lost the lead, so that the outcome is unknown
   */
  synchronized boolean commit(ReplicatedServer server, List<String> requestIds)
      throws InterruptedException {
    LogEntry entry = server.append(requestIds);
    listener.onCommit(server, entry);
    int incarnation = server.incarnation();
    while (!entry.isReceived()) {
      if (server.incarnation() != incarnation || !server.isPrimary() || !server.holds(entry)) {
        return false;
      }
      wait();
    }
    return true;
  }

  /** Waits while a server is frozen; returns whether it is still the same process. */
  synchronized boolean awaitThaw(ReplicatedServer server, int incarnation)
      throws InterruptedException {
    while (server.isFrozen() && server.incarnation() == incarnation) {
      wait();
    }
    return server.incarnation() == incarnation;
  }

  void onArrival(ReplicatedServer server, String requestId, long nanos) {
    listener.onArrival(server, requestId, nanos);
  }

  void onStatement(ReplicatedServer server, String requestId, String text) {
    listener.onStatement(server, requestId, text);
  }

  void onRead(ReplicatedServer server, String requestId) {
    listener.onRead(server, requestId);
  }

  void execute(Runnable task) {
    executor.execute(task);
  }

  @Override
  public void close() throws IOException {
    for (ReplicatedServer server : servers) {
      server.close();
    }
  }
}

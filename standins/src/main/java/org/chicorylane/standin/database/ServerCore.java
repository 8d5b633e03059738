package org.chicorylane.standin.database;

import java.sql.SQLException;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;

/**
 * What the parts of one server share: its engine, replication, sessions, slots and faults.
 *
 * <p>Thread-safe.
 */
final class ServerCore implements AutoCloseable {

  private final GroupCore group;
  private final String name;
  private final FreezeGate gate = new FreezeGate();
  private final SlotGate slots;
  private final SessionRegistry sessions;
  private final Replication replication;
  private final Replay replay;
  private final ExecutionCounts executions = new ExecutionCounts();
  private final Thread receiver;
  private final Thread replayer;
  private volatile Engine engine;
  private volatile boolean running;
  private volatile boolean closed;
  private final AtomicLong incarnation = new AtomicLong();
  private volatile Instant startTime;
  private volatile Duration serviceTime = Duration.ZERO;
  private volatile Duration connectDelay = Duration.ZERO;

  ServerCore(GroupCore group, String name, boolean primary, ConnectionInfo upstream)
      throws SQLException {
    this.group = group;
    this.name = name;
    slots = new SlotGate(group.options().slots());
    sessions = new SessionRegistry(group.options().connections());
    engine = new Engine(name);
    startTime = group.options().clock().instant();
    replication = new Replication(this, primary, upstream);
    replay = new Replay(this);
    receiver = worker("receiver");
    replayer = worker("replayer");
  }

  private Thread worker(String duty) {
    Thread thread = new Thread(() -> work(duty), "standin-" + name + "-" + duty);
    thread.setDaemon(true);
    return thread;
  }

  private void work(String duty) {
    boolean receives = duty.equals("receiver");
    while (!closed) {
      gate.pass();
      long wait = receives ? replication.receive() : replay.step();
      if (wait > 0) {
        LockSupport.parkNanos(this, wait);
      } else if (receives) {
        LockSupport.unpark(replayer);
      }
    }
  }

  /** Starts the threads that replicate. */
  void startReplication() {
    receiver.start();
    replayer.start();
  }

  /** Marks the server as running, as after a start of its process. */
  void begin() {
    replication.exclusively(
        () -> {
          incarnation.incrementAndGet();
          startTime = group.options().clock().instant();
          running = true;
        });
    wakeReplication();
  }

  /** Marks the server as stopped; nothing commits after this returns. */
  void end() {
    replication.exclusively(
        () -> {
          incarnation.incrementAndGet();
          running = false;
        });
    gate.open();
  }

  void freeze() {
    replication.exclusively(gate::freeze);
  }

  void thaw() {
    gate.open();
    wakeReplication();
  }

  /** Replaces the engine by an empty one and starts over as a replica of {@code upstream}. */
  void eraseData(ConnectionInfo upstream) throws SQLException {
    synchronized (replay) {
      replication.reset(upstream);
      Engine old = engine;
      engine = new Engine(name);
      replay.reset();
      old.close();
    }
  }

  void wakeReplication() {
    LockSupport.unpark(receiver);
    LockSupport.unpark(replayer);
  }

  void wakeReceiver() {
    LockSupport.unpark(receiver);
  }

  void wakeFollowers() {
    group.wakeFollowers(this);
  }

  /** Waits until the servers that stream from this one have received its log. */
  void awaitFollowers(Duration timeout) throws InterruptedException {
    long deadline = System.nanoTime() + timeout.toNanos();
    while (group.hasLaggingFollower(this) && System.nanoTime() < deadline) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }

  @Nullable ServerCore peer(ConnectionInfo info) {
    return group.serverAt(info);
  }

  boolean connectedTo(ServerCore other) {
    return group.connected(this, other);
  }

  String name() {
    return name;
  }

  Engine engine() {
    return engine;
  }

  FreezeGate gate() {
    return gate;
  }

  SlotGate slots() {
    return slots;
  }

  SessionRegistry sessions() {
    return sessions;
  }

  Replication replication() {
    return replication;
  }

  Replay replay() {
    return replay;
  }

  ExecutionCounts executions() {
    return executions;
  }

  boolean running() {
    return running;
  }

  long incarnation() {
    return incarnation.get();
  }

  Instant startTime() {
    return startTime;
  }

  Instant now() {
    return group.options().clock().instant();
  }

  Duration serviceTime() {
    return serviceTime;
  }

  void serviceTime(Duration time) {
    serviceTime = time;
  }

  Duration connectDelay() {
    return connectDelay;
  }

  void connectDelay(Duration delay) {
    connectDelay = delay;
  }

  @Nullable String password() {
    return group.options().password();
  }

  Executor executor() {
    return group.executor();
  }

  ScheduledExecutorService scheduler() {
    return group.scheduler();
  }

  @Override
  public void close() throws SQLException {
    closed = true;
    end();
    wakeReplication();
    synchronized (replay) {
      engine.close();
    }
  }
}

package org.chicorylane.internal.failover;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.chicorylane.internal.declaration.BackendServer;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.chicorylane.internal.declaration.ServerState;
import org.jspecify.annotations.Nullable;

/**
 * Deterministic simulation of backend servers, instances, the network and the key-value service in
 * simulated time. Checks the invariants of failover: one primary per timeline, no acknowledged
 * write lost, and no command on a server without its lock.
 */
final class FailoverModel {
  static final long MILLI = 1000;
  private static final int TRACE_LENGTH = 400;

  /** A rule that is broken on purpose, to show that the invariant checks detect it. */
  enum Mutation {
    NONE,
    PRIMARY_ALONE_CONFIRMS,
    SWAP_IGNORES_REVISION,
    FENCE_HAS_NO_EFFECT,
    LOCK_IS_SHARED,
    LOCK_IS_SHARED_AND_SEAL_KEEPS_RECEIVING;

    boolean sharesLocks() {
      return this == LOCK_IS_SHARED || this == LOCK_IS_SHARED_AND_SEAL_KEEPS_RECEIVING;
    }
  }

  private record Step(long at, String who, @Nullable HomeEvent cause, @Nullable HomeAction action) {
    @Override
    public String toString() {
      String what = cause == null ? "" : " " + cause.getClass().getSimpleName() + " -> " + action;
      return at / MILLI + " ms: " + who + what;
    }
  }

  private record Task(long at, long order, Runnable run) {}

  final Random random;
  final Mutation mutation;
  final Map<String, ModelServer> servers = new TreeMap<>();
  final List<ModelInstance> instances = new ArrayList<>();
  final Set<Set<String>> cuts = new HashSet<>();
  final List<String> violations = new ArrayList<>();
  final Map<Long, Long> acknowledged = new TreeMap<>();
  final Map<Class<?>, Long> firstActions = new HashMap<>();
  final List<Long> confirmationMicros = new ArrayList<>();
  private final Map<Long, String> primaryByTimeline = new HashMap<>();
  private final Deque<Step> trace = new ArrayDeque<>();
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
  DatabaseGroup group;
  @Nullable StoredRecord stored;
  boolean storeUp = true;
  double lossShare;
  long lastAcknowledged;
  long swapDelayMicros;
  long idleSessionTimeoutMicros = FailoverTimings.IDLE_SESSION_TIMEOUT.toMillis() * MILLI;
  private long lastRevision;
  private long now;
  private long taskCount;
  private long writes;

  FailoverModel(long seed, int serverCount, int instanceCount, Mutation mutation) {
    this.random = new Random(seed);
    this.mutation = mutation;
    group = declareGroup(serverCount, Set.of());
    for (BackendServer declared : group.servers()) {
      ModelServer server = new ModelServer(declared.name(), this);
      server.inRecovery = !declared.name().equals("s0");
      server.upstream = server.inRecovery ? "s0" : null;
      servers.put(declared.name(), server);
    }
    for (int i = 0; i < instanceCount; i++) {
      start(new ModelInstance("i" + i, this, random.nextLong()));
    }
    every(10 * MILLI, () -> servers.values().forEach(ModelServer::tick));
    every(20 * MILLI, () -> instances.forEach(i -> i.write(++writes)));
  }

  static DatabaseGroup declareGroup(int count, Set<String> leaving) {
    List<BackendServer> list =
        IntStream.range(0, count)
            .mapToObj(i -> "s" + i)
            .map(
                n ->
                    new BackendServer(
                        n,
                        "10.0.0." + n.substring(1),
                        5432,
                        "hall-" + n,
                        3,
                        25,
                        leaving.contains(n) ? ServerState.LEAVING : ServerState.JOINED))
            .toList();
    return new DatabaseGroup("ledger", "ledger", "app", "", "s0", list);
  }

  String address(String server) {
    return "10.0.0." + server.substring(1) + ":5432";
  }

  void start(ModelInstance instance) {
    instances.add(instance);
    scheduleTicks(instance);
  }

  private void scheduleTicks(ModelInstance instance) {
    after(
        20 * MILLI,
        () -> {
          if (instance.alive) {
            if (!instance.paused) {
              instance.tick();
            }
            scheduleTicks(instance);
          }
        });
  }

  /** Sends every instance the order of candidates, with {@code first} first. */
  void prefer(String first) {
    List<String> names = new ArrayList<>(instances.stream().map(i -> i.name).toList());
    names.remove(first);
    names.add(0, first);
    for (ModelInstance instance : instances) {
      boolean isFirst = instance.name.equals(first);
      after(
          random.nextInt(100) * MILLI,
          () ->
              instance.deliver(
                  () -> instance.handle(new HomeEvent.CandidatesChanged(isFirst, names))));
    }
  }

  void declareLeaving(Set<String> leaving) {
    publishDeclaration(declareGroup(servers.size(), leaving));
  }

  void declareCount(int count) {
    publishDeclaration(declareGroup(count, Set.of()));
  }

  private void publishDeclaration(DatabaseGroup declared) {
    group = declared;
    instances.forEach(i -> i.deliver(() -> i.handle(new HomeEvent.GroupChanged(group))));
  }

  long now() {
    return now;
  }

  Instant instant() {
    return Instant.ofEpochSecond(1_000_000, now * 1000);
  }

  void after(long micros, Runnable run) {
    tasks.add(new Task(now + micros, taskCount++, run));
  }

  private void every(long micros, Runnable run) {
    after(
        micros,
        () -> {
          run.run();
          every(micros, run);
        });
  }

  void runFor(long millis) {
    long end = now + millis * MILLI;
    while (!tasks.isEmpty() && tasks.peek().at() <= end) {
      Task task = tasks.poll();
      now = task.at();
      task.run().run();
    }
    now = end;
  }

  boolean isCut(String one, String other) {
    return cuts.contains(Set.of(one, other));
  }

  private long delay() {
    return 1_200L + random.nextInt(600);
  }

  // Sessions between instances and servers.

  void openSession(ModelInstance owner, ControlConnection connection, boolean control) {
    ModelServer server = servers.get(connection.server());
    ModelServer.Session session = new ModelServer.Session(owner, connection, control, now);
    owner.sessions.put(connection, session);
    if (isCut(owner.name, server.name)) {
      return;
    }
    long opening = 2 * delay() + (control ? 4 * MILLI : 0);
    after(
        opening,
        () -> {
          if (!server.alive) {
            owner.deliver(
                () -> owner.handle(new HomeEvent.ControlFailed(connection, "connection refused")));
          } else if (!server.frozen && !isCut(owner.name, server.name)) {
            session.lastMessage = now;
            server.sessions.add(session);
            if (control) {
              sendToInstance(server, session, new HomeEvent.ControlOpened(connection));
            }
          }
        });
  }

  void sendToServer(ModelInstance from, HomeAction.ConnectionAction action) {
    ControlConnection connection = action.connection();
    if (action instanceof HomeAction.OpenControl) {
      openSession(from, connection, true);
      return;
    }
    ModelServer.Session session = from.sessions.get(connection);
    ModelServer server = servers.get(connection.server());
    if (action instanceof HomeAction.CloseControl) {
      from.sessions.remove(connection);
    }
    send(
        session,
        server,
        duration(action),
        () -> {
          if (action instanceof HomeAction.CloseControl) {
            server.end(session);
          } else {
            sendToInstance(server, session, server.run(action, session));
          }
        });
  }

  private static long duration(HomeAction action) {
    if (action instanceof HomeAction.Promote) {
      return 100 * MILLI;
    }
    if (action instanceof HomeAction.Seal || action instanceof HomeAction.Follow) {
      return 10 * MILLI;
    }
    return 100;
  }

  /**
   * Runs a task on the server when the message arrives, unless the message is lost or the server
   * has ended the session.
   */
  private void send(ModelServer.Session session, ModelServer server, long duration, Runnable run) {
    if (isDropped(session, server)) {
      return;
    }
    long at = Math.max(now + delay(), session.busyUntil) + duration;
    session.busyUntil = at + 1;
    after(at - now, () -> execute(session, server, run));
  }

  private void execute(ModelServer.Session session, ModelServer server, Runnable run) {
    if (server.frozen) {
      after(10 * MILLI, () -> execute(session, server, run));
    } else if (server.sessions.contains(session)) {
      session.lastMessage = now;
      run.run();
    }
  }

  void sendToInstance(ModelServer server, ModelServer.Session session, HomeEvent event) {
    ModelInstance owner = session.owner;
    if (isDropped(session, server)) {
      return;
    }
    after(
        delay() + 600,
        () -> {
          if (owner.sessions.get(session.connection) == session) {
            owner.deliver(() -> owner.handle(event));
          }
        });
  }

  private boolean isDropped(ModelServer.Session session, ModelServer server) {
    return session.unresponsive
        || isCut(session.owner.name, server.name)
        || random.nextDouble() < lossShare;
  }

  void write(ModelInstance from, ControlConnection connection, long id, long term) {
    ModelServer server = servers.get(connection.server());
    ModelServer.Session session = from.sessions.get(connection);
    after(
        4 * delay(),
        () ->
            send(
                session,
                server,
                100,
                () -> {
                  long offset = server.write(id);
                  if (!isDropped(session, server)) {
                    after(delay(), () -> from.deliver(() -> from.onWritten(id, term, offset)));
                  }
                }));
  }

  void replicate(ModelServer primary) {
    for (ModelServer server : servers.values()) {
      if (primary.name.equals(server.upstream)) {
        int end = primary.log.size();
        after(delay() + server.lagMicros, () -> server.receive(end));
      }
    }
  }

  // Other instances and the key-value service.

  void collectEvidence(ModelInstance asker, HomeAction.AskEvidence ask) {
    List<ModelInstance> peers =
        instances.stream().filter(i -> i != asker && i.alive).limit(2).toList();
    ModelServer server = servers.get(ask.server());
    long last = 0;
    for (ModelInstance peer : peers) {
      boolean unresponsive = peer.paused || isCut(asker.name, peer.name);
      boolean reached = server.isRunning() && !isCut(peer.name, server.name);
      boolean refused = !server.alive && !isCut(peer.name, server.name);
      ServerReachability reachability =
          reached ? ServerReachability.REACHABLE : ServerReachability.UNREACHABLE;
      long wait = reached || refused ? 4 * delay() + 2 * MILLI : 300 * MILLI;
      if (unresponsive) {
        reachability = ServerReachability.NO_ANSWER;
        wait = 500 * MILLI;
      }
      last = Math.max(last, wait);
      long timeline = reached && !server.inRecovery ? server.timeline : 0;
      HomeEvent answer =
          new HomeEvent.EvidenceAnswered(
              ask.server(), ask.round(), peer.name, reachability, timeline);
      after(wait, () -> asker.deliver(() -> asker.handle(answer)));
    }
    HomeEvent ended = new HomeEvent.EvidenceEnded(ask.server(), ask.round(), peers.size());
    after(last + 1, () -> asker.deliver(() -> asker.handle(ended)));
  }

  void handOver(ModelInstance from, String to) {
    for (ModelInstance peer : instances) {
      if (peer.name.equals(to) && !isCut(from.name, to)) {
        after(
            delay(),
            () -> peer.deliver(() -> peer.handle(new HomeEvent.TakeoverRequested(from.name))));
      }
    }
  }

  void sendToStore(ModelInstance from, HomeAction action) {
    boolean answerLost = random.nextDouble() < lossShare * 10;
    long transit = delay() + (random.nextDouble() < lossShare * 10 ? random.nextInt(900_000) : 0);
    long timeout = 300 * MILLI;
    if (action instanceof HomeAction.ReadRecord) {
      boolean fails = !storeUp || answerLost;
      after(
          fails ? timeout : transit,
          () -> {
            StoredRecord read = stored;
            HomeEvent event =
                fails ? new HomeEvent.RecordUnavailable("timeout") : new HomeEvent.RecordRead(read);
            after(delay(), () -> from.deliver(() -> from.handle(event)));
          });
    } else if (action instanceof HomeAction.SwapRecord swap) {
      transit += swapDelayMicros;
      boolean reaches = storeUp || random.nextInt(4) == 0;
      boolean late = !storeUp || answerLost || transit > timeout;
      if (late) {
        SwapResult unsettled = new SwapResult.Unsettled("timeout");
        after(
            timeout, () -> from.deliver(() -> from.handle(new HomeEvent.RecordSwapped(unsettled))));
      }
      if (reaches) {
        after(transit, () -> swap(from, swap, !late));
      }
    }
  }

  private void swap(ModelInstance from, HomeAction.SwapRecord swap, boolean answered) {
    long current = stored == null ? 0 : stored.modRevision();
    SwapResult result = new SwapResult.Conflict(stored);
    if (current == swap.expectedModRevision() || mutation == Mutation.SWAP_IGNORES_REVISION) {
      boolean isFence = stored != null && stored.record().term() == swap.record().term();
      if (!isFence || mutation != Mutation.FENCE_HAS_NO_EFFECT) {
        stored = new StoredRecord(swap.record(), ++lastRevision);
      }
      result = new SwapResult.Applied(lastRevision);
      checkAcknowledged("after a swap to " + swap.record());
    }
    HomeEvent event = new HomeEvent.RecordSwapped(result);
    if (answered) {
      after(delay(), () -> from.deliver(() -> from.handle(event)));
    }
  }

  // Invariants.

  void onPromoted(ModelServer server) {
    String before = primaryByTimeline.putIfAbsent(server.timeline, server.name);
    check(before == null || before.equals(server.name), "two primaries in " + server.timeline);
  }

  void onAcknowledged(ModelInstance by, long id) {
    acknowledged.put(id, now);
    lastAcknowledged = now;
    check(
        isInPrimaryLog(id), by.name + " acknowledged " + id + ", which the current primary lacks");
  }

  private boolean isInPrimaryLog(long id) {
    return stored == null || servers.get(stored.record().primary()).containsWrite(id);
  }

  void checkAcknowledged(String when) {
    Set<Long> primaryLog = new HashSet<>();
    if (stored != null) {
      servers.get(stored.record().primary()).log.forEach(e -> primaryLog.add(e.write()));
      for (long id : acknowledged.keySet()) {
        check(primaryLog.contains(id), "acknowledged write " + id + " is lost " + when);
      }
    }
  }

  void check(boolean condition, String message) {
    if (!condition && violations.size() < 5) {
      violations.add("at " + now / MILLI + " ms: " + message);
    }
  }

  void trace(String instance, HomeEvent cause, HomeAction action) {
    firstActions.putIfAbsent(action.getClass(), now);
    boolean isFrequent =
        action instanceof HomeAction.Observe
            || action instanceof HomeAction.LogHeld
            || action instanceof HomeAction.ServerSampled
            || action instanceof HomeAction.TryLock;
    if (!isFrequent) {
      note(new Step(now, instance, cause, action));
    }
  }

  void note(String message) {
    note(new Step(now, message, null, null));
  }

  private void note(Step step) {
    trace.add(step);
    if (trace.size() > TRACE_LENGTH) {
      trace.poll();
    }
  }

  String describe() {
    return String.join("\n", violations)
        + "\n"
        + trace.stream().map(Step::toString).collect(Collectors.joining("\n"));
  }
}

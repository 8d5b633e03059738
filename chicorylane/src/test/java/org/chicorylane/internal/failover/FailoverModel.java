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

/** Servers, instances, network and key-value service in paused time, with the invariants. */
final class FailoverModel {
  static final long MILLI = 1000;
  private static final int TRACE_LENGTH = 400;

  /** A rule broken on purpose, to show that the invariants notice. */
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
  private final Map<Long, String> promotedIn = new HashMap<>();
  private final Deque<Step> trace = new ArrayDeque<>();
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
  DatabaseGroup group;
  @Nullable StoredRecord stored;
  boolean storeUp = true;
  double lossShare;
  long lastAcknowledged;
  long swapDelayMicros;
  long idleSessionMicros = FailoverTimings.IDLE_SESSION_TIMEOUT.toMillis() * MILLI;
  private long revisions;
  private long now;
  private long orders;
  private long writes;

  FailoverModel(long seed, int serverCount, int instanceCount, Mutation mutation) {
    this.random = new Random(seed);
    this.mutation = mutation;
    group = declare(serverCount, Set.of());
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

  static DatabaseGroup declare(int count, Set<String> leaving) {
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
    tickFrom(instance);
  }

  private void tickFrom(ModelInstance instance) {
    after(
        20 * MILLI,
        () -> {
          if (instance.alive) {
            if (!instance.paused) {
              instance.tick();
            }
            tickFrom(instance);
          }
        });
  }

  /** Tells every instance the order of candidates, {@code first} first. */
  void prefer(String first) {
    List<String> names = new ArrayList<>(instances.stream().map(i -> i.name).toList());
    names.remove(first);
    names.add(0, first);
    for (ModelInstance instance : instances) {
      boolean isFirst = instance.name.equals(first);
      after(
          random.nextInt(100) * MILLI,
          () ->
              instance.receive(() -> instance.on(new HomeEvent.CandidatesChanged(isFirst, names))));
    }
  }

  void declareLeaving(Set<String> leaving) {
    tell(declare(servers.size(), leaving));
  }

  void declareCount(int count) {
    tell(declare(count, Set.of()));
  }

  private void tell(DatabaseGroup declared) {
    group = declared;
    instances.forEach(i -> i.receive(() -> i.on(new HomeEvent.GroupChanged(group))));
  }

  long now() {
    return now;
  }

  Instant instant() {
    return Instant.ofEpochSecond(1_000_000, now * 1000);
  }

  void after(long micros, Runnable run) {
    tasks.add(new Task(now + micros, orders++, run));
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
            owner.receive(
                () -> owner.on(new HomeEvent.ControlFailed(connection, "connection refused")));
          } else if (!server.frozen && !isCut(owner.name, server.name)) {
            session.lastMessage = now;
            server.sessions.add(session);
            if (control) {
              fromServer(server, session, new HomeEvent.ControlOpened(connection));
            }
          }
        });
  }

  void toServer(ModelInstance from, HomeAction.ConnectionAction action) {
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
            fromServer(server, session, server.run(action, session));
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

  /** Runs on the server when the message has arrived, unless it or its session is gone. */
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

  void fromServer(ModelServer server, ModelServer.Session session, HomeEvent event) {
    ModelInstance owner = session.owner;
    if (isDropped(session, server)) {
      return;
    }
    after(
        delay() + 600,
        () -> {
          if (owner.sessions.get(session.connection) == session) {
            owner.receive(() -> owner.on(event));
          }
        });
  }

  private boolean isDropped(ModelServer.Session session, ModelServer server) {
    return session.silent
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
                    after(delay(), () -> from.receive(() -> from.written(id, term, offset)));
                  }
                }));
  }

  void appended(ModelServer primary) {
    for (ModelServer server : servers.values()) {
      if (primary.name.equals(server.upstream)) {
        int end = primary.log.size();
        after(delay() + server.lagMicros, () -> server.receive(end));
      }
    }
  }

  // Other instances and the key-value service.

  void evidence(ModelInstance asker, HomeAction.AskEvidence ask) {
    List<ModelInstance> peers =
        instances.stream().filter(i -> i != asker && i.alive).limit(2).toList();
    ModelServer server = servers.get(ask.server());
    long last = 0;
    for (ModelInstance peer : peers) {
      boolean silent = peer.paused || isCut(asker.name, peer.name);
      boolean reached = server.isRunning() && !isCut(peer.name, server.name);
      boolean refused = !server.alive && !isCut(peer.name, server.name);
      ServerReachability reachability =
          reached ? ServerReachability.REACHABLE : ServerReachability.UNREACHABLE;
      long wait = reached || refused ? 4 * delay() + 2 * MILLI : 300 * MILLI;
      if (silent) {
        reachability = ServerReachability.NO_ANSWER;
        wait = 500 * MILLI;
      }
      last = Math.max(last, wait);
      long timeline = reached && !server.inRecovery ? server.timeline : 0;
      HomeEvent answer =
          new HomeEvent.EvidenceAnswered(
              ask.server(), ask.round(), peer.name, reachability, timeline);
      after(wait, () -> asker.receive(() -> asker.on(answer)));
    }
    HomeEvent ended = new HomeEvent.EvidenceEnded(ask.server(), ask.round(), peers.size());
    after(last + 1, () -> asker.receive(() -> asker.on(ended)));
  }

  void handOver(ModelInstance from, String to) {
    for (ModelInstance peer : instances) {
      if (peer.name.equals(to) && !isCut(from.name, to)) {
        after(
            delay(), () -> peer.receive(() -> peer.on(new HomeEvent.TakeoverRequested(from.name))));
      }
    }
  }

  void toStore(ModelInstance from, HomeAction action) {
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
            after(delay(), () -> from.receive(() -> from.on(event)));
          });
    } else if (action instanceof HomeAction.SwapRecord swap) {
      transit += swapDelayMicros;
      boolean reaches = storeUp || random.nextInt(4) == 0;
      boolean late = !storeUp || answerLost || transit > timeout;
      if (late) {
        SwapResult unsettled = new SwapResult.Unsettled("timeout");
        after(timeout, () -> from.receive(() -> from.on(new HomeEvent.RecordSwapped(unsettled))));
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
        stored = new StoredRecord(swap.record(), ++revisions);
      }
      result = new SwapResult.Applied(revisions);
      checkAcknowledged("after a swap to " + swap.record());
    }
    HomeEvent event = new HomeEvent.RecordSwapped(result);
    if (answered) {
      after(delay(), () -> from.receive(() -> from.on(event)));
    }
  }

  // Invariants.

  void promoted(ModelServer server) {
    String before = promotedIn.putIfAbsent(server.timeline, server.name);
    check(before == null || before.equals(server.name), "two primaries in " + server.timeline);
  }

  void acknowledged(ModelInstance by, long id) {
    acknowledged.put(id, now);
    lastAcknowledged = now;
    check(isKept(id), by.name + " acknowledged " + id + ", which the current primary lacks");
  }

  private boolean isKept(long id) {
    return stored == null || servers.get(stored.record().primary()).holds(id);
  }

  void checkAcknowledged(String when) {
    Set<Long> kept = new HashSet<>();
    if (stored != null) {
      servers.get(stored.record().primary()).log.forEach(e -> kept.add(e.write()));
      for (long id : acknowledged.keySet()) {
        check(kept.contains(id), "acknowledged write " + id + " is lost " + when);
      }
    }
  }

  void check(boolean holds, String what) {
    if (!holds && violations.size() < 5) {
      violations.add("at " + now / MILLI + " ms: " + what);
    }
  }

  void trace(String instance, HomeEvent cause, HomeAction action) {
    firstActions.putIfAbsent(action.getClass(), now);
    boolean frequent =
        action instanceof HomeAction.Observe
            || action instanceof HomeAction.LogHeld
            || action instanceof HomeAction.ServerSampled
            || action instanceof HomeAction.TryLock;
    if (!frequent) {
      note(new Step(now, instance, cause, action));
    }
  }

  void note(String what) {
    note(new Step(now, what, null, null));
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

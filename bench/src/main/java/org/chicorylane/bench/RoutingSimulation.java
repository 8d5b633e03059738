package org.chicorylane.bench;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.routing.ReadRequest;
import org.chicorylane.internal.routing.RoutingDecision;
import org.chicorylane.internal.routing.ServerAvailability;

/**
 * A seeded discrete-event simulation of sessions that write to a primary and read from its replicas
 * through one home, with the true log beside it: every read is compared with what its session must
 * see and how old its data may be. Not thread-safe; runs once.
 *
 * <p>Some answers to writes are lost, some writes commit long after their outcome became unknown,
 * and the home changes in the middle of the run.
 */
final class RoutingSimulation {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
  private static final Duration NETWORK_DELAY = Duration.ofMillis(2);
  private static final Duration SETTLE_AFTER = Duration.ofMillis(600);
  private static final Duration FAULT_INTERVAL = Duration.ofSeconds(2);
  private static final Duration DEADLINE = Duration.ofSeconds(1);
  private static final int SESSIONS = 400;
  private static final double WRITES_PER_SECOND = 50;
  private static final int MAX_SCANNED = 64;

  /**
   * What is simulated.
   *
   * @param name for tables
   * @param lagB the lag of one replica
   * @param lagC the lag of the other, which takes twice as long for a read
   * @param readsPerSecond reads beside those that follow a write
   * @param faults whether replicas are cut off and restart with older data
   * @param length the simulated time
   */
  record Scenario(
      String name,
      Duration lagB,
      Duration lagC,
      double readsPerSecond,
      boolean faults,
      Duration length) {}

  /** What came of it; eligible are the reads that don't ask for the primary. */
  record Result(
      long reads,
      long eligible,
      long fromReplicas,
      long staleForSession,
      long tooOld,
      long refused,
      Duration latencyMedian,
      Duration latency99) {
    double replicaShare() {
      return eligible == 0 ? 0 : fromReplicas / (double) eligible;
    }
  }

  private record Write(Instant committedAt, long offset) {}

  private record Read(ReadRequest request, long mustSee, boolean eligible) {}

  private final VirtualTime time = new VirtualTime();
  private final ReadStrategy strategy;
  private final Scenario scenario;
  private final Random random;
  private final Random services;
  private final Map<String, SimulatedReplica> servers = new LinkedHashMap<>();
  private final List<Write> log = new ArrayList<>();
  private final Map<String, Long> tokens = new HashMap<>();
  private final Map<String, Long> committed = new HashMap<>();
  private final ArrayDeque<Read> waiting = new ArrayDeque<>();
  private final Histogram latency = new Histogram(3);
  private long end;
  private int homeNumber;
  private long eligible;
  private long fromReplicas;
  private long staleForSession;
  private long tooOld;
  private long refused;

  RoutingSimulation(ReadStrategy strategy, Scenario scenario, long seed) {
    this.strategy = strategy;
    this.scenario = scenario;
    this.random = new Random(seed);
    this.services = new Random(seed + 1_000);
    servers.put("a", new SimulatedReplica("a", Duration.ZERO, 5));
    servers.put("b", new SimulatedReplica("b", scenario.lagB(), 5));
    servers.put("c", new SimulatedReplica("c", scenario.lagC(), 10));
  }

  Result run() {
    time.after(Durations.between(random, WRITES_PER_SECOND), this::writeArrives);
    time.after(Durations.between(random, scenario.readsPerSecond()), this::readArrives);
    time.after(Duration.ZERO, this::poll);
    time.after(scenario.length().dividedBy(2), this::changeHome);
    if (scenario.faults()) {
      time.after(FAULT_INTERVAL, this::breakReplica);
    }
    time.runUntil(Instant.EPOCH.plus(scenario.length()));
    return new Result(
        latency.getTotalCount(),
        eligible,
        fromReplicas,
        staleForSession,
        tooOld,
        refused,
        Duration.ofNanos(latency.getValueAtPercentile(50) * 1_000),
        Duration.ofNanos(latency.getValueAtPercentile(99) * 1_000));
  }

  private SimulatedReplica server(String name) {
    return requireNonNull(servers.get(name));
  }

  private void writeArrives() {
    String session = "s" + random.nextInt(SESSIONS);
    boolean unknown = random.nextInt(50) == 0;
    strategy.tell(r -> r.onWriteInDoubt(session));
    int home = homeNumber;
    Duration service = Durations.service(random, 6);
    if (unknown) {
      Duration late = Duration.ofMillis(random.nextInt((int) SETTLE_AFTER.toMillis()));
      time.after(late, () -> commitUnlessEnded(session, home));
      time.after(SETTLE_AFTER, () -> settle(session, home));
    } else {
      time.after(service, () -> commitAndAnswer(session, home));
    }
    time.after(Durations.between(random, WRITES_PER_SECOND), this::writeArrives);
  }

  private void commitUnlessEnded(String session, int home) {
    if (home == homeNumber) {
      commit(session);
    }
  }

  private void settle(String session, int home) {
    if (home == homeNumber) {
      LogPosition position = position(end);
      strategy.tell(r -> r.onWriteSettled(session, position));
    }
  }

  private void commitAndAnswer(String session, int home) {
    if (home != homeNumber) {
      return;
    }
    long offset = commit(session);
    boolean answerLost = random.nextInt(10) == 0;
    time.after(
        NETWORK_DELAY,
        () -> {
          if (home == homeNumber) {
            strategy.tell(r -> r.onWriteSettled(session, position(offset)));
          }
          if (!answerLost) {
            tokens.put(session, offset);
          }
        });
    for (int i = 0; i < 3; i++) {
      time.after(Duration.ofMillis(3 + random.nextInt(200)), () -> read(session));
    }
  }

  private long commit(String session) {
    end += 100 + random.nextInt(1_000);
    long offset = end;
    log.add(new Write(time.now(), offset));
    committed.put(session, offset);
    servers.values().forEach(s -> s.receive(time, random, offset));
    return offset;
  }

  private void readArrives() {
    read("s" + random.nextInt(SESSIONS));
    time.after(Durations.between(random, scenario.readsPerSecond()), this::readArrives);
  }

  private void read(String session) {
    int dice = random.nextInt(100);
    Duration maximumAge = null;
    if (dice < 5) {
      maximumAge = Duration.ZERO;
    } else if (dice < 55) {
      maximumAge = Duration.ofSeconds(5);
    } else if (dice < 85) {
      maximumAge = Duration.ofSeconds(30);
    }
    Long token = tokens.get(session);
    LogPosition floor = token == null ? null : position(token);
    Instant now = time.now();
    ReadRequest request = new ReadRequest(session, floor, maximumAge, now, now.plus(DEADLINE));
    decide(new Read(request, committed.getOrDefault(session, 0L), dice >= 5));
  }

  private void decide(Read read) {
    if (!tryStart(read)) {
      waiting.add(read);
    }
  }

  /** Returns false if the read has to wait for a slot. */
  private boolean tryStart(Read read) {
    RoutingDecision decision = strategy.choose(read.request(), time.now());
    if (decision instanceof RoutingDecision.WaitUntil wait) {
      time.at(wait.instant(), () -> decide(read));
      return true;
    }
    if (decision instanceof RoutingDecision.Serve serve) {
      return startOnFirstFree(read, serve.servers());
    }
    if (decision instanceof RoutingDecision.Primary primary) {
      return startOnFirstFree(read, List.of(primary.server()));
    }
    refused++;
    return true;
  }

  private boolean startOnFirstFree(Read read, List<String> names) {
    for (String name : names) {
      SimulatedReplica server = server(name);
      if (server.isFree()) {
        start(read, server);
        return true;
      }
    }
    return false;
  }

  private void start(Read read, SimulatedReplica server) {
    check(read, server);
    server.take();
    strategy.tell(r -> r.onDispatched(server.name()));
    boolean fromReplica = !server.name().equals(ReadStrategy.PRIMARY);
    if (read.eligible()) {
      eligible++;
      fromReplicas += fromReplica ? 1 : 0;
    }
    Duration service = Durations.service(services, server.serviceMillis());
    time.after(service, () -> finish(read, server, service));
  }

  private void finish(Read read, SimulatedReplica server, Duration service) {
    server.free();
    strategy.tell(r -> r.onAnswered(server.name(), service));
    latency.recordValue(Duration.between(read.request().arrival(), time.now()).toNanos() / 1_000);
    Iterator<Read> next = waiting.iterator();
    for (int i = 0; i < MAX_SCANNED && next.hasNext(); i++) {
      if (tryStart(next.next())) {
        next.remove();
      }
    }
  }

  /** Compares what the server holds with the true log. */
  private void check(Read read, SimulatedReplica server) {
    if (server.name().equals(ReadStrategy.PRIMARY)) {
      return;
    }
    staleForSession += server.applied() < read.mustSee() ? 1 : 0;
    Duration maximumAge = read.request().maximumAge();
    if (maximumAge != null) {
      Instant oldest = time.now().minus(maximumAge);
      tooOld += server.applied() < endBefore(oldest) ? 1 : 0;
    }
  }

  private long endBefore(Instant instant) {
    int low = 0;
    int high = log.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (log.get(middle).committedAt().isBefore(instant)) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low == 0 ? 0 : log.get(low - 1).offset();
  }

  private void poll() {
    Instant sentAt = time.now();
    time.after(
        NETWORK_DELAY,
        () -> {
          int home = homeNumber;
          LogPosition seen = position(end);
          time.after(NETWORK_DELAY, () -> tellHome(home, () -> sample(sentAt, seen)));
          ReadStrategy.REPLICAS.forEach(r -> answerPoll(server(r), home));
        });
    time.after(POLL_INTERVAL, this::poll);
  }

  private void sample(Instant sentAt, LogPosition seen) {
    strategy.tell(r -> r.onPrimaryPosition(sentAt, seen));
  }

  private void answerPoll(SimulatedReplica replica, int home) {
    Instant startedAt = replica.startedAt();
    int connection = replica.connection();
    LogPosition replayed = position(replica.applied());
    time.after(
        NETWORK_DELAY,
        () ->
            tellHome(
                home,
                () -> {
                  if (connection == replica.connection()) {
                    strategy.tell(
                        r -> r.onReplayed(replica.name(), startedAt, replayed, time.now()));
                  }
                }));
  }

  private void tellHome(int home, Runnable event) {
    if (home == homeNumber) {
      event.run();
    }
  }

  private void changeHome() {
    homeNumber++;
    strategy.takeOver(position(end));
  }

  private void breakReplica() {
    SimulatedReplica replica = server(ReadStrategy.REPLICAS.get(random.nextInt(2)));
    String name = replica.name();
    replica.cut();
    strategy.tell(r -> r.setServer(name, ReadStrategy.SLOTS, ServerAvailability.UNUSABLE));
    time.after(
        Duration.ofMillis(300),
        () -> {
          replica.restart(time.now(), random.nextInt(60_000));
          strategy.tell(r -> r.onDisconnected(name));
          strategy.tell(r -> r.setServer(name, ReadStrategy.SLOTS, ServerAvailability.JOINED));
        });
    time.after(FAULT_INTERVAL, this::breakReplica);
  }

  private static LogPosition position(long offset) {
    return new LogPosition(1, offset);
  }
}

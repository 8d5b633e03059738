package org.chicorylane.internal.home;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.chicorylane.internal.backend.ServerConnector;
import org.chicorylane.internal.declaration.BackendServer;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.declaration.ServerState;
import org.chicorylane.internal.failover.FailoverTimings;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.platform.InMemoryKeyValueStore;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.relay.EntryRouter;
import org.chicorylane.internal.relay.Fleet;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.GroupService;
import org.chicorylane.internal.relay.PeerAddress;
import org.chicorylane.internal.relay.ProbeResult;
import org.chicorylane.internal.relay.RelayClient;
import org.chicorylane.internal.relay.RelayHandler;
import org.chicorylane.internal.relay.RelayServer;
import org.chicorylane.internal.relay.RelayTimings;
import org.chicorylane.internal.relay.RequestKind;
import org.chicorylane.internal.relay.generated.DeclarationsMessage;
import org.chicorylane.internal.settings.HomeLimits;
import org.chicorylane.internal.statement.SqlValue;
import org.chicorylane.internal.statement.Statement;
import org.chicorylane.standin.database.StandInGroup;
import org.chicorylane.standin.database.StandInServer;

/**
 * Instances in one process that share a stand-in group of three backend servers. The test sets the
 * order of candidates for the home, and may set it differently per instance.
 */
final class HomeFixture implements AutoCloseable {
  static final Duration WAIT_LIMIT = Duration.ofSeconds(20);
  private static final Duration DRAIN_LIMIT = Duration.ofSeconds(10);
  static final int SLOTS = 3;
  static final int CONNECTIONS = 25;
  static final String INSERT = "INSERT INTO sighting (id, note) VALUES ($1, $2)";

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final String GROUP = "archive";
  private static final String COUNT = "SELECT count(*) FROM sighting WHERE id = $1";
  private static final long POLL_NANOS = Duration.ofMillis(5).toNanos();
  private static final List<String> ZONES = List.of("hall-ukkel", "hall-liben", "hall-ebro");

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final Vertx vertx = Vertx.vertx();
  private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
  private final StandInGroup servers =
      StandInGroup.builder(GROUP)
          .servers(3)
          .slots(SLOTS)
          .connections(CONNECTIONS)
          .schema("CREATE TABLE sighting (id varchar(40) NOT NULL, note text)")
          .start();
  private final Duration retryLimit;
  private final List<Instance> instances = new ArrayList<>();
  private final AtomicInteger requests = new AtomicInteger();
  private volatile Declarations declarations;

  /** One instance; the test sets its order of candidates. */
  private final class Instance implements Fleet, RelayHandler {
    private final RelayServer relay;
    private final RelayClient peers = new RelayClient(loops, RelayTimings.DEFAULT);
    private final PeerAddress self;
    private final HomeRegistry home;
    private final EntryRouter entry;
    private volatile List<Integer> candidateOrder = List.of();

    Instance(int index, FailoverTimings timings) {
      InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
      relay = RelayServer.start(loops, anyPort, this, InstantSource.system());
      self = new PeerAddress("entry-" + index, "127.0.0.1", relay.port(), ZONES.get(index % 3));
      MetricRegistry metrics = new MetricRegistry();
      HomeEnvironment environment =
          new HomeEnvironment(
              "test-" + index,
              new ServerConnector(vertx, Duration.ofMillis(400)),
              store,
              this,
              peers,
              () -> declarations,
              timings,
              HomeLimits.defaults(),
              stopped -> {},
              InstantSource.system(),
              metrics);
      home = new HomeRegistry(environment, loops);
      entry = new EntryRouter(this, peers, home, loops, InstantSource.system(), metrics);
    }

    @Override
    public PeerAddress self() {
      return self;
    }

    @Override
    public List<PeerAddress> candidates(String group) {
      return candidateOrder.stream().map(i -> instances.get(i).self).toList();
    }

    @Override
    public List<PeerAddress> others() {
      return instances.stream().map(i -> i.self).filter(p -> !p.equals(self)).toList();
    }

    @Override
    public CompletableFuture<Outcome> onRequest(GroupRequest request) {
      return home.submit(request);
    }

    @Override
    public CompletableFuture<ProbeResult> onProbe(String group, String server) {
      return home.probe(group, server);
    }

    @Override
    public DeclarationsMessage onPull(long revision) {
      return DeclarationsMessage.getDefaultInstance();
    }

    @Override
    public void onTakeHome(String group) {
      home.takeHome(group, "");
    }
  }

  /** Starts instances that all have the first of them as first candidate. */
  HomeFixture(int count) {
    this(count, FailoverTimings.DEFAULTS, REQUEST_TIMEOUT);
  }

  /** Starts instances; a request is retried for {@code retryLimit} until it is served. */
  HomeFixture(int count, FailoverTimings timings, Duration retryLimit) {
    this.retryLimit = retryLimit;
    declare(Map.of());
    for (int i = 0; i < count; i++) {
      instances.add(new Instance(i, timings));
    }
    Integer[] candidateOrder = new Integer[count];
    for (int i = 0; i < count; i++) {
      candidateOrder[i] = i;
    }
    setCandidates(candidateOrder);
  }

  /** Returns the default timings, but with homes that move soon after another one is preferred. */
  static FailoverTimings timingsWithFastHandOver() {
    FailoverTimings d = FailoverTimings.DEFAULTS;
    Duration handOverHold = Duration.ofMillis(100);
    return new FailoverTimings(
        d.heartbeat(),
        d.suspicionTimeout(),
        d.commandTimeout(),
        d.lockRetry(),
        d.reopenRetry(),
        d.reopenRetryLimit(),
        d.evidenceWait(),
        d.evidenceRetry(),
        d.evidenceValidity(),
        d.suspicionWithoutPeers(),
        d.sealWait(),
        d.storeRetry(),
        d.storeRetryLimit(),
        d.repairRetry(),
        handOverHold,
        handOverHold,
        d.stepAsidePeriod(),
        d.stepAsideGrace(),
        d.minorityHold(),
        d.selfPauseThreshold());
  }

  StandInGroup servers() {
    return servers;
  }

  StandInServer server(int number) {
    return servers.server(GROUP + "-" + number);
  }

  InMemoryKeyValueStore store() {
    return store;
  }

  /** Declares the group; servers that are not in {@code states} are declared as joined. */
  void declare(Map<String, ServerState> states) {
    List<BackendServer> declared =
        servers.servers().stream()
            .map(
                s ->
                    new BackendServer(
                        s.name(),
                        s.host(),
                        s.port(),
                        ZONES.get(0),
                        SLOTS,
                        CONNECTIONS,
                        states.getOrDefault(s.name(), ServerState.JOINED)))
            .toList();
    DatabaseGroup group = new DatabaseGroup(GROUP, GROUP, "proxy", "", GROUP + "-1", declared);
    declarations = new Declarations(1, Map.of(GROUP, group), Map.of(), Map.of(), Map.of());
    instances.forEach(i -> i.home.refresh());
  }

  /** Sets the order of candidates on every instance. */
  void setCandidates(Integer... candidateOrder) {
    instances.forEach(i -> i.candidateOrder = List.of(candidateOrder));
    instances.forEach(i -> i.home.refresh());
  }

  /** Sets the order of candidates on one instance only. */
  void setCandidatesOf(int instance, Integer... candidateOrder) {
    instances.get(instance).candidateOrder = List.of(candidateOrder);
    instances.get(instance).home.refresh();
  }

  GroupService home(int instance) {
    return instances.get(instance).home;
  }

  GroupService entry(int instance) {
    return instances.get(instance).entry;
  }

  /** Makes an instance release all groups immediately. */
  void stopHome(int instance) {
    instances.get(instance).home.stop();
  }

  /** Drains every instance; fails after {@link #DRAIN_LIMIT}. */
  void drain() {
    instances.forEach(
        i -> i.home.drain().orTimeout(DRAIN_LIMIT.toSeconds(), TimeUnit.SECONDS).join());
  }

  void await(String what, BooleanSupplier condition) {
    Instant end = Instant.now().plus(WAIT_LIMIT);
    while (!condition.getAsBoolean()) {
      assertWithMessage("timed out waiting until " + what).that(Instant.now()).isLessThan(end);
      LockSupport.parkNanos(POLL_NANOS);
    }
  }

  /** Waits until an instance serves reads as the home. */
  void awaitHome(int instance) {
    await(
        "instance " + instance + " is home",
        () ->
            home(instance).submit(read("", "prober", null, null)).join()
                instanceof Outcome.Completed);
  }

  Outcome.Completed write(GroupService service, String id, String key) {
    return completed(service, insertRequest(id, key, "session-1"));
  }

  Outcome.Completed completed(GroupService service, GroupRequest request) {
    Outcome outcome = submitUntilServed(service, request);
    assertThat(outcome).isInstanceOf(Outcome.Completed.class);
    return (Outcome.Completed) outcome;
  }

  /**
   * Submits a request until its outcome is neither unknown nor transient, or the retry limit has
   * passed. A new home needs a moment to get its locks, and writes on a lost primary end unknown.
   */
  Outcome submitUntilServed(GroupService service, GroupRequest request) {
    Instant end = Instant.now().plus(retryLimit);
    while (true) {
      Outcome outcome = service.submit(withNewDeadline(request, end)).join();
      boolean retry =
          outcome instanceof Outcome.Unknown
              || (outcome instanceof Outcome.NotRun n && n.reason().isTransient());
      if (!retry || Instant.now().isAfter(end)) {
        return outcome;
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
  }

  /** Counts the rows of {@code id}, in a read that must see {@code floor}. */
  long count(GroupService service, String id, LogPosition floor) {
    return countOf(completed(service, read(id, "session-1", floor, null)));
  }

  static long countOf(Outcome.Completed done) {
    return ((SqlValue.Int) done.results().get(0).rows().get(0).get(0)).value();
  }

  GroupRequest insertRequest(String id, String key, String session) {
    return request(RequestKind.WRITE, List.of(insert(id)), session, null, null, key, null);
  }

  /** Returns an insert whose deadline is {@code timeout} from now. */
  GroupRequest insertRequest(String id, String key, String session, Duration timeout) {
    GroupRequest r = insertRequest(id, key, session);
    return new GroupRequest(
        r.requestId(),
        r.group(),
        r.kind(),
        r.statements(),
        r.requestClass(),
        r.maximumAge(),
        r.sessionId(),
        r.floor(),
        r.idempotencyKey(),
        r.repeatable(),
        r.transaction(),
        Instant.now().plus(timeout));
  }

  GroupRequest writeRequest(List<Statement> statements, String key) {
    return request(RequestKind.WRITE, statements, "session-1", null, null, key, null);
  }

  GroupRequest read(String id, String session, LogPosition floor, Duration maximumAge) {
    Statement count = new Statement(COUNT, List.of(new SqlValue.Text(id)));
    return request(RequestKind.READ, List.of(count), session, floor, maximumAge, null, null);
  }

  GroupRequest begin() {
    return request(RequestKind.BEGIN, List.of(), "session-1", null, null, null, null);
  }

  GroupRequest inTransaction(RequestKind kind, String handle, Statement... statements) {
    return request(kind, List.of(statements), "session-1", null, null, null, handle);
  }

  private GroupRequest request(
      RequestKind kind,
      List<Statement> statements,
      String session,
      LogPosition floor,
      Duration maximumAge,
      String key,
      String transaction) {
    return new GroupRequest(
        "r" + requests.getAndIncrement(),
        GROUP,
        kind,
        statements,
        "default",
        maximumAge,
        session,
        floor,
        key,
        kind == RequestKind.READ,
        transaction,
        Instant.now().plus(REQUEST_TIMEOUT));
  }

  private static GroupRequest withNewDeadline(GroupRequest r, Instant end) {
    Instant deadline = Instant.now().plus(REQUEST_TIMEOUT);
    return new GroupRequest(
        r.requestId(),
        r.group(),
        r.kind(),
        r.statements(),
        r.requestClass(),
        r.maximumAge(),
        r.sessionId(),
        r.floor(),
        r.idempotencyKey(),
        r.repeatable(),
        r.transaction(),
        deadline.isBefore(end) ? deadline : end);
  }

  static Statement insert(String id) {
    return new Statement(INSERT, List.of(new SqlValue.Text(id), new SqlValue.Text("x")));
  }

  /** Counts the inserts of {@code id} in the newest primary's log. */
  long countLogged(String id) {
    return servers.newestPrimary().log().stream()
        .flatMap(r -> r.statements().stream())
        .filter(s -> s.sql().equals(INSERT) && id.equals(String.valueOf(s.parameters().get(0))))
        .count();
  }

  /** Asserts that the newest primary's log has each acknowledged insert exactly once. */
  void assertLoggedOnce(Collection<String> acknowledged) {
    for (String id : acknowledged) {
      assertWithMessage("inserts of %s", id).that(countLogged(id)).isEqualTo(1);
    }
  }

  /** Asserts that no server exceeded its connections or slots, or refused a connection. */
  void assertWithinLimits() {
    for (StandInServer s : servers.servers()) {
      assertWithMessage("%s", s).that(s.peakConnections()).isAtMost(CONNECTIONS);
      assertWithMessage("%s", s).that(s.peakSlotDemand()).isAtMost(SLOTS);
      assertWithMessage("refused by %s", s).that(s.refusedConnections()).isEqualTo(0);
    }
  }

  static boolean isNotHome(Outcome outcome) {
    return outcome instanceof Outcome.NotRun n && n.reason() == NotRunReason.NOT_HOME;
  }

  @Override
  public void close() {
    instances.forEach(i -> i.home.stop());
    servers.close();
    instances.forEach(i -> i.peers.close());
    instances.forEach(i -> i.relay.close());
    vertx.close().toCompletionStage().toCompletableFuture().join();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}

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
 * Instances that share a stand-in group of three servers, each with its own belief of who is home.
 */
final class HomeFixture implements AutoCloseable {
  static final Duration PATIENCE = Duration.ofSeconds(20);
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
  private final Duration patience;
  private final List<Instance> instances = new ArrayList<>();
  private final AtomicInteger requests = new AtomicInteger();
  private volatile Declarations declarations;

  /** One instance; its belief of the candidates is set by the test. */
  private final class Instance implements Fleet, RelayHandler {
    private final RelayServer relay;
    private final RelayClient peers = new RelayClient(loops, RelayTimings.DEFAULT);
    private final PeerAddress self;
    private final HomeRegistry home;
    private final EntryRouter entry;
    private volatile List<Integer> order = List.of();

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
      return order.stream().map(i -> instances.get(i).self).toList();
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

  /** Starts instances that all believe the first of them to be home. */
  HomeFixture(int count) {
    this(count, FailoverTimings.DEFAULTS, REQUEST_TIMEOUT);
  }

  /** Starts instances; a request is tried again for {@code patience} until it is served. */
  HomeFixture(int count, FailoverTimings timings, Duration patience) {
    this.patience = patience;
    declare(Map.of());
    for (int i = 0; i < count; i++) {
      instances.add(new Instance(i, timings));
    }
    Integer[] order = new Integer[count];
    for (int i = 0; i < count; i++) {
      order[i] = i;
    }
    order(order);
  }

  /** Returns the timings in use, but for homes that move as soon as another one is preferred. */
  static FailoverTimings movingAtOnce() {
    FailoverTimings d = FailoverTimings.DEFAULTS;
    Duration hold = Duration.ofMillis(100);
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
        hold,
        hold,
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

  /** Declares the group; servers that {@code states} does not name are joined. */
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

  /** Makes every instance believe in that order of candidates. */
  void order(Integer... order) {
    instances.forEach(i -> i.order = List.of(order));
    instances.forEach(i -> i.home.refresh());
  }

  /** Makes one instance believe in that order of candidates. */
  void believe(int instance, Integer... order) {
    instances.get(instance).order = List.of(order);
    instances.get(instance).home.refresh();
  }

  GroupService home(int instance) {
    return instances.get(instance).home;
  }

  GroupService entry(int instance) {
    return instances.get(instance).entry;
  }

  /** Makes an instance let go of everything at once. */
  void stopHome(int instance) {
    instances.get(instance).home.stop();
  }

  /** Hands the group over on every instance. */
  void drain() {
    instances.forEach(
        i -> i.home.drain().orTimeout(DRAIN_LIMIT.toSeconds(), TimeUnit.SECONDS).join());
  }

  void await(String what, BooleanSupplier condition) {
    Instant end = Instant.now().plus(PATIENCE);
    while (!condition.getAsBoolean()) {
      assertWithMessage("waited in vain until " + what).that(Instant.now()).isLessThan(end);
      LockSupport.parkNanos(POLL_NANOS);
    }
  }

  /** Waits until an instance serves reads as home. */
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

  /** The home takes a moment to take the locks, and writes of a lost primary end unknown. */
  Outcome submitUntilServed(GroupService service, GroupRequest request) {
    Instant end = Instant.now().plus(patience);
    while (true) {
      Outcome outcome = service.submit(again(request, end)).join();
      boolean again =
          outcome instanceof Outcome.Unknown
              || (outcome instanceof Outcome.NotRun n && n.reason().isTransient());
      if (!again || Instant.now().isAfter(end)) {
        return outcome;
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
  }

  /** Counts the rows of {@code id} as a session that has seen {@code floor}. */
  long count(GroupService service, String id, LogPosition floor) {
    return countOf(completed(service, read(id, "session-1", floor, null)));
  }

  static long countOf(Outcome.Completed done) {
    return ((SqlValue.Int) done.results().get(0).rows().get(0).get(0)).value();
  }

  GroupRequest insertRequest(String id, String key, String session) {
    return request(RequestKind.WRITE, List.of(insert(id)), session, null, null, key, null);
  }

  /** Returns an insert whose caller waits longer than others. */
  GroupRequest insertRequest(String id, String key, String session, Duration patience) {
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
        Instant.now().plus(patience));
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

  private static GroupRequest again(GroupRequest r, Instant end) {
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

  /** Returns how often the newest primary's log has an insert of {@code id}. */
  long logged(String id) {
    return servers.newestPrimary().log().stream()
        .flatMap(r -> r.statements().stream())
        .filter(s -> s.sql().equals(INSERT) && id.equals(String.valueOf(s.parameters().get(0))))
        .count();
  }

  /** Checks that the newest primary's log has each acknowledged insert once. */
  void assertLoggedOnce(Collection<String> acknowledged) {
    for (String id : acknowledged) {
      assertWithMessage("inserts of %s", id).that(logged(id)).isEqualTo(1);
    }
  }

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

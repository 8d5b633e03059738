package org.chicorylane.internal.proxy;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.chicorylane.internal.election.ElectionTimings;
import org.chicorylane.internal.election.HomeBalancer;
import org.chicorylane.internal.election.HomeElection;
import org.chicorylane.internal.election.HomeRecord;
import org.chicorylane.internal.election.Promoter;
import org.chicorylane.internal.entry.HomeRouter;
import org.chicorylane.internal.entry.SessionRegistry;
import org.chicorylane.internal.mesh.MeshTransport;
import org.chicorylane.internal.mesh.NettyMeshTransport;
import org.chicorylane.internal.mesh.PeerLink;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.platform.ConditionalWriter;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.pool.GroupPool;
import org.chicorylane.internal.pool.PoolMetrics;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.runtime.UniqueIds;
import org.chicorylane.internal.topology.BackendServer;
import org.chicorylane.internal.topology.Configuration;
import org.chicorylane.internal.topology.GroupDeclaration;
import org.chicorylane.internal.topology.PeerInstance;
import org.chicorylane.internal.topology.ServerDirectory;
import org.chicorylane.internal.topology.TopologyDecoder;

/**
 * An instance that serves clients' sessions: entry for its clients, home of some groups, and peer
 * of the other instances.
 *
 * <pre>{@code
 * ProxyInstance instance = new ProxyInstance(self, ports);
 * instance.start();
 * }</pre>
 *
 * <p>Confined to one thread.
 */
public final class ProxyInstance {

  /** Everything outside of the instance that it talks to. */
  public record Ports(
      KeyValueStore store,
      BooleanSupplier storeAway,
      ServerConnector connector,
      Promoter promoter,
      TopologyDecoder decoder,
      MeshTransport mesh,
      Scheduler scheduler,
      DecisionLog log) {}

  /** How often homes and candidates look at what has to be done. */
  private static final Duration TICK = Duration.ofMillis(50);

  /** How often what the store holds is read through other instances while it is away. */
  private static final Duration ASSISTED_READ = Duration.ofSeconds(1);

  /** A successor confirms the record at every so many of the home's confirmations. */
  private static final int SUCCESSOR_ROUNDS = 2;

  /** Time after a stop was asked for in which the balancer still sends new connections. */
  private static final Duration BALANCER_DELAY = Duration.ofMillis(2_200);

  private final PeerInstance self;
  private final Ports ports;
  private final ElectionTimings timings = ElectionTimings.defaults();
  private final ConfigurationKeeper configuration;
  private final ServerDirectory servers;
  private final InstanceRegistry registry;
  private final Map<String, PeerLink> links = new HashMap<>();
  private final Map<String, HomeElection> elections = new HashMap<>();
  private final Map<String, KeyValueEntry> records = new HashMap<>();
  private final HomeRouter router;
  private final SessionRegistry sessions;
  private final MeshService service;
  private final AssistedStore store;
  private final HomeElection.Context context;
  private final MetricRegistry metrics = new MetricRegistry();
  private boolean laneKnown;
  private boolean serversKnown;
  private boolean draining;
  private boolean confirming;
  private int confirmRound;

  /** Creates an instance that does nothing yet. */
  public ProxyInstance(PeerInstance self, Ports ports) {
    this.self = self;
    this.ports = ports;
    Scheduler scheduler = ports.scheduler();
    this.configuration = new ConfigurationKeeper(ports.decoder(), ports.log(), this::declare);
    this.servers = new ServerDirectory(scheduler, this::declare);
    this.registry = new InstanceRegistry(ports.store(), scheduler, ports.log(), self);
    this.store =
        new AssistedStore(
            ports.store(), ports.storeAway(), registry::instances, this::link, self.name());
    this.router = new HomeRouter(scheduler, ports.log(), elections::get, this::link, self.name());
    this.sessions = new SessionRegistry(configuration::current, router);
    this.service =
        new MeshService(
            scheduler,
            ports.connector(),
            elections::get,
            elections.values(),
            this::link,
            configuration,
            ports.store());
    ConditionalWriter swaps =
        new ConditionalWriter(
            store,
            delay -> {
              CompletableFuture<Void> done = new CompletableFuture<>();
              scheduler.schedule(delay, () -> done.complete(null));
              return done;
            });
    this.context =
        new HomeElection.Context(
            new HomeRecord.Holder(self.name(), self.incarnation(), self.address()),
            store,
            swaps,
            ports.connector(),
            ports.promoter(),
            new MeshPeerClient(registry, this::link),
            scheduler,
            ports.log(),
            timings,
            this::homesOf,
            new HomeBalancer(self.name()),
            new UniqueIds(self.incarnation()),
            new PoolMetrics(metrics));
    publishGauges();
  }

  private int homesOf(String instance, String exceptGroup) {
    int homes = 0;
    for (HomeElection t : elections.values()) {
      HomeRecord r = t.record();
      if (r != null && r.home().name().equals(instance) && !t.group().equals(exceptGroup)) {
        homes++;
      }
    }
    return homes;
  }

  private void publishGauges() {
    metrics.gauge("sessions.open", () -> sessions::count);
    metrics.gauge(
        "homes", () -> () -> elections.values().stream().filter(HomeElection::isHome).count());
    metrics.gauge("configuration.version", () -> configuration::version);
    metrics.gauge("store.away", () -> () -> ports.storeAway().getAsBoolean() ? 1 : 0);
    metrics.gauge("statements.queued", () -> this::queued);
  }

  private int queued() {
    int queued = 0;
    for (HomeElection t : List.copyOf(elections.values())) {
      GroupPool pool = t.pool();
      queued += pool == null ? 0 : pool.queueSize();
    }
    return queued;
  }

  /** Returns the instance's metrics. */
  public MetricRegistry metrics() {
    return metrics;
  }

  /** Begins to follow the store and to take part. */
  public void start() {
    follow(ports.decoder().configurationKey(), new ConfigurationListener());
    follow(ports.decoder().serverPrefix(), new ServerListener());
    follow("lane/", new LaneListener());
    registry.register();
    ports
        .scheduler()
        .repeat(TICK, () -> new ArrayList<>(elections.values()).forEach(HomeElection::tick));
    ports.scheduler().repeat(timings.confirmInterval(), this::confirm);
  }

  /** Returns where clients' sessions are opened. */
  public SessionRegistry sessions() {
    return sessions;
  }

  /** Returns what answers other instances. */
  public NettyMeshTransport.MeshAcceptor meshAcceptor() {
    return service;
  }

  /** Returns whether new clients should come here. */
  public boolean isReady() {
    return !draining && configuration.current() != null && laneKnown && serversKnown;
  }

  /** Returns whether this instance is the home of a group. */
  public boolean isHomeOf(String group) {
    HomeElection t = elections.get(group);
    return t != null && t.isHome();
  }

  /** Says that the store answers again after an outage. */
  public void onStoreReturned() {
    servers.onStoreReturned();
  }

  /**
   * Leaves without breaking requests.
   *
   * @param limit the time after which all sessions are closed
   * @param onDone called when nothing is left
   */
  public void drain(Duration limit, Runnable onDone) {
    if (draining) {
      return;
    }
    draining = true;
    ports
        .log()
        .event(DecisionLog.Priority.BELIEF, "draining")
        .with("sessions", sessions.count())
        .write();
    registry.leave();
    elections.values().forEach(HomeElection::leave);
    long begun = ports.scheduler().nanoTime();
    leaveStep(begun, limit, onDone);
  }

  private void leaveStep(long begun, Duration limit, Runnable onDone) {
    long passed = ports.scheduler().nanoTime() - begun;
    boolean over = passed > limit.toNanos();
    int open = sessions.count();
    if (passed > BALANCER_DELAY.toNanos()) {
      open = sessions.closeSessions(!over);
    }
    boolean idle =
        open == 0
            && router.isIdle()
            && elections.values().stream().allMatch(HomeElection::isIdle)
            && passed > BALANCER_DELAY.toNanos();
    if (idle || passed > limit.toNanos() * 5 / 4) {
      ports.log().event(DecisionLog.Priority.BELIEF, "stopped").with("sessions", open).write();
      onDone.run();
      return;
    }
    ports.scheduler().schedule(TICK, () -> leaveStep(begun, limit, onDone));
  }

  private void follow(String prefix, PrefixFollower.Listener listener) {
    PrefixFollower follower = new PrefixFollower(store, prefix, ports.scheduler(), listener);
    follower.start();
    ports
        .scheduler()
        .repeat(
            ASSISTED_READ,
            () -> {
              if (ports.storeAway().getAsBoolean()) {
                follower.start();
              }
            });
  }

  private void confirm() {
    confirmRound++;
    boolean home = elections.values().stream().anyMatch(HomeElection::isHome);
    boolean successor = elections.values().stream().anyMatch(HomeElection::isSuccessor);
    if (confirming || !(home || (successor && confirmRound % SUCCESSOR_ROUNDS == 0))) {
      return;
    }
    confirming = true;
    long sent = ports.scheduler().nanoTime();
    store
        .range(HomeRecord.KEY_PREFIX)
        .thenAccept(
            result -> {
              confirming = false;
              if (result instanceof ReadResult.Read read) {
                Map<String, KeyValueEntry> byKey = new HashMap<>();
                read.entries().forEach(e -> byKey.put(e.key(), e));
                elections.forEach(
                    (group, t) -> t.onConfirmation(byKey.get(HomeRecord.keyOf(group)), sent));
              }
            });
  }

  private void declare() {
    Configuration c = configuration.current();
    if (c == null) {
      return;
    }
    for (GroupDeclaration group : c.groups().values()) {
      HomeElection election =
          elections.computeIfAbsent(
              group.name(),
              name -> {
                HomeElection t = new HomeElection(name, context, () -> onHomeChanged(name));
                if (laneKnown) {
                  t.onRecord(records.get(HomeRecord.keyOf(name)));
                }
                return t;
              });
      List<BackendServer> present = servers.ofGroup(group.name());
      election.updateDeclaration(group, c.transactionIdleLimit(), present);
      election.tick();
    }
  }

  private void onHomeChanged(String group) {
    watchHomes();
    router.onHomeChanged(group);
  }

  private void watchHomes() {
    Set<String> homes = new HashSet<>();
    for (HomeElection t : elections.values()) {
      HomeRecord r = t.record();
      if (r != null && !r.home().name().equals(self.name())) {
        homes.add(r.home().address());
      }
    }
    homes.forEach(address -> link(address).watch(true));
    links.forEach(
        (address, link) -> {
          if (!homes.contains(address)) {
            link.watch(false);
          }
        });
  }

  private PeerLink link(String address) {
    return links.computeIfAbsent(
        address,
        a -> new PeerLink(a, ports.mesh(), ports.scheduler(), configuration::version, new Links()));
  }

  /** Follows the links to other instances. */
  private final class Links implements PeerLink.LinkListener {
    @Override
    public void onLost(String address, boolean refused) {
      for (HomeElection t : elections.values()) {
        HomeRecord r = t.record();
        if (r != null && r.home().address().equals(address)) {
          t.onHomeLost(refused);
        }
      }
    }

    @Override
    public void onHeard(String address) {
      for (HomeElection t : elections.values()) {
        HomeRecord r = t.record();
        if (r != null && r.home().address().equals(address)) {
          t.onHomeResponded();
        }
      }
    }

    @Override
    public void onPeerVersion(PeerLink link, long version) {
      if (version < configuration.version()) {
        link.sendConfiguration(configuration.text());
      }
    }

    @Override
    public void onConfiguration(String text) {
      configuration.onText(text, "a home");
    }
  }

  private final class ConfigurationListener implements PrefixFollower.Listener {
    @Override
    public void onAll(List<KeyValueEntry> entries) {
      entries.forEach(e -> onChange(e, false));
    }

    @Override
    public void onChange(KeyValueEntry entry, boolean deleted) {
      if (!deleted && entry.key().equals(ports.decoder().configurationKey())) {
        configuration.onText(entry.value(), "the store");
      }
    }
  }

  private final class ServerListener implements PrefixFollower.Listener {
    @Override
    public void onAll(List<KeyValueEntry> entries) {
      Map<String, BackendServer> present = new HashMap<>();
      entries.forEach(
          e ->
              ports
                  .decoder()
                  .decodeServer(e.key(), e.value())
                  .ifPresent(s -> present.put(s.id(), s)));
      serversKnown = true;
      servers.replaceAll(present);
    }

    @Override
    public void onChange(KeyValueEntry entry, boolean deleted) {
      String id = entry.key().substring(ports.decoder().serverPrefix().length());
      if (deleted) {
        servers.markMissing(id);
      } else {
        ports
            .decoder()
            .decodeServer(entry.key(), entry.value())
            .ifPresentOrElse(servers::put, () -> servers.markMissing(id));
      }
    }
  }

  private final class LaneListener implements PrefixFollower.Listener {
    @Override
    public void onAll(List<KeyValueEntry> entries) {
      registry.clear();
      records.clear();
      laneKnown = true;
      entries.forEach(e -> onChange(e, false));
      elections.forEach((group, t) -> t.onRecord(records.get(HomeRecord.keyOf(group))));
      elections.values().forEach(HomeElection::tick);
    }

    @Override
    public void onChange(KeyValueEntry entry, boolean deleted) {
      if (entry.key().startsWith(InstanceRegistry.KEY_PREFIX)) {
        registry.onEntry(entry, deleted);
      } else if (entry.key().startsWith(HomeRecord.KEY_PREFIX) && !deleted) {
        records.put(entry.key(), entry);
        HomeElection t = elections.get(entry.key().substring(HomeRecord.KEY_PREFIX.length()));
        if (t != null) {
          t.onRecord(entry);
        }
      }
    }
  }
}

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
import org.chicorylane.internal.account.AccountGate;
import org.chicorylane.internal.account.AccountRules;
import org.chicorylane.internal.account.ClientAccounts;
import org.chicorylane.internal.account.ConfigurationFreshness;
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
import org.chicorylane.internal.mesh.PeerLinks;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.platform.ConditionalWriter;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.platform.RestorableStore;
import org.chicorylane.internal.platform.StoreEra;
import org.chicorylane.internal.pool.GroupPool;
import org.chicorylane.internal.pool.PoolMetrics;
import org.chicorylane.internal.quota.FleetQuota;
import org.chicorylane.internal.runtime.AttentionClock;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.runtime.UniqueIds;
import org.chicorylane.internal.topology.Configuration;
import org.chicorylane.internal.topology.GroupDeclaration;
import org.chicorylane.internal.topology.PeerInstance;
import org.chicorylane.internal.topology.ServerDirectory;
import org.chicorylane.internal.topology.TopologyDecoder;
import org.jspecify.annotations.Nullable;

/**
 * An instance of the proxy: the entry for its clients' sessions, the home of some groups, and a
 * peer of the other instances. It follows the key-value store, keeps one {@link HomeElection} per
 * group, and keeps one {@link PeerLink} per instance that it uses.
 *
 * <pre>{@code
 * ProxyInstance instance = new ProxyInstance(self, ports);
 * instance.start();
 * }</pre>
 *
 * <p>Confined to one thread.
 */
public final class ProxyInstance {

  /**
   * The interfaces to everything outside of the instance.
   *
   * @param store the key-value store, called directly
   * @param storeUnavailable returns whether the last call to the store failed
   * @param connector opens connections to backend servers
   * @param promoter promotes a replica to primary
   * @param decoder decodes the configuration and the server entries
   * @param mesh opens connections to other instances
   * @param scheduler the instance's thread and clock
   * @param log receives the instance's events
   */
  public record Ports(
      KeyValueStore store,
      BooleanSupplier storeUnavailable,
      ServerConnector connector,
      Promoter promoter,
      TopologyDecoder decoder,
      MeshTransport mesh,
      Scheduler scheduler,
      DecisionLog log) {}

  /**
   * Interval at which the router, the elections and the inquiry about drains check for due work.
   */
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

  /** Interval at which followers adapt to the relays and to the store's availability. */
  private static final Duration FOLLOWER_INTERVAL = Duration.ofSeconds(1);

  /**
   * Delay after the start before changes of the configuration and the servers are followed. By then
   * the instances are known among which the relays are chosen.
   */
  private static final Duration FIRST_FOLLOW_DELAY = Duration.ofMillis(500);

  /** Rounds per confirmation by an instance that is a successor but the home of no group. */
  private static final int SUCCESSOR_CONFIRM_ROUNDS = 2;

  /**
   * Time after the start of a drain during which the load balancer still opens new connections to
   * this instance.
   */
  private static final Duration LOAD_BALANCER_DELAY = Duration.ofMillis(2_200);

  /**
   * Longest time that an idle instance continues so that later homes can ask whether it stopped.
   */
  private static final Duration RELEASE_TIMEOUT = Duration.ofMillis(1_200);

  private final PeerInstance self;
  private final Ports ports;
  private final AccountRules accountRules;
  private final AttentionClock attention;
  private final ElectionTimings timings = ElectionTimings.defaults();
  private final LatestConfiguration configuration;
  private final ServerDirectory servers;
  private final InstanceRegistry registry;
  private final PeerLinks links;
  private final Map<String, HomeElection> elections = new HashMap<>();
  private final Map<String, PrefixFollower> followers = new HashMap<>();
  private final WatchRelays relays;
  private final Map<String, KeyValueEntry> records = new HashMap<>();
  private final HomeRouter router;
  private final SessionRegistry sessions;
  private final MeshService service;
  private final ConfigurationFreshness freshness;
  private final ConfigurationConfirmer confirmer;
  private final FleetQuota quota;
  private final DrainInquiry drainInquiry;
  private final RestorableStore store;
  private final HomeElection.Context context;
  private final MetricRegistry metrics = new MetricRegistry();
  private boolean coordinationLoaded;
  private boolean serversLoaded;
  private boolean draining;
  private boolean confirming;
  private int confirmRound;

  /**
   * Creates an instance that is inactive until {@link #start()}.
   *
   * @param drainTimeout the time in which a draining server takes new work
   */
  public ProxyInstance(PeerInstance self, Ports ports, Duration drainTimeout) {
    this(self, ports, drainTimeout, AccountRules.NONE);
  }

  /**
   * Creates an instance that is inactive until {@link #start()}.
   *
   * @param drainTimeout the time in which a draining server takes new work
   * @param accountRules what the deployment demands of client accounts
   */
  public ProxyInstance(
      PeerInstance self, Ports ports, Duration drainTimeout, AccountRules accountRules) {
    this.self = self;
    this.accountRules = accountRules;
    this.ports = ports;
    Scheduler scheduler = ports.scheduler();
    this.configuration =
        new LatestConfiguration(
            ports.decoder(), scheduler::nanoTime, ports.log(), this::onConfiguration);
    this.attention = new AttentionClock(scheduler, TICK_INTERVAL);
    this.links =
        new PeerLinks(
            ports.mesh(), scheduler, attention, configuration::version, new LinkObserver());
    this.registry = new InstanceRegistry(ports.store(), scheduler, ports.log(), self);
    this.relays = new WatchRelays(self, registry::relayingInstances);
    this.store =
        new RestorableStore(
            new PeerFallbackStore(
                ports.store(),
                ports.storeUnavailable(),
                registry::instances,
                links::to,
                self.name()),
            scheduler::nanoTime,
            scheduler::waitNanoTime,
            this::onStoreRestored);
    this.servers =
        new ServerDirectory(
            scheduler, store.revisionTimes(), ports.log(), drainTimeout, this::updateElection);
    this.drainInquiry =
        new DrainInquiry(scheduler, servers, registry::instances, links::to, self.name());
    this.router = new HomeRouter(scheduler, ports.log(), elections::get, links::to, self.name());
    this.sessions = new SessionRegistry(configuration::current, router);
    this.freshness = new ConfigurationFreshness(scheduler::nanoTime, accountRules);
    this.confirmer =
        new ConfigurationConfirmer(
            scheduler,
            store,
            ports.decoder().configurationKey(),
            configuration,
            freshness,
            this::decidesOnKeys,
            this::otherHomes,
            links::to,
            self.name());
    this.quota =
        new FleetQuota(
            accountRules.quota(),
            configuration::current,
            new QuotaHomes(),
            new QuotaLoans(links::to),
            scheduler,
            ports.log(),
            metrics);
    this.service =
        new MeshService(
            self.incarnation(),
            scheduler,
            attention,
            ports.connector(),
            elections::get,
            elections.values(),
            links::to,
            configuration,
            ports.store(),
            ports.storeUnavailable(),
            servers,
            followers,
            confirmer,
            quota);
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
            ports.storeUnavailable(),
            servers,
            swaps,
            ports.connector(),
            ports.promoter(),
            new MeshPeerClient(registry, links::to),
            scheduler,
            attention,
            ports.log(),
            timings,
            this::countHomes,
            new HomeBalancer(self.name()),
            new UniqueIds(self.incarnation()),
            new PoolMetrics(metrics),
            new AccountGate(
                this::accounts, configuration::version, freshness, ports.log(), metrics),
            quota);
    publishGauges();
  }

  /** Returns the numbers of groups other than {@code exceptGroup} by the name of their home. */
  private Map<String, Integer> countHomes(String exceptGroup) {
    Map<String, Integer> homes = new HashMap<>();
    for (HomeElection election : elections.values()) {
      HomeRecord homeRecord = election.record();
      if (homeRecord != null && !election.group().equals(exceptGroup)) {
        homes.merge(homeRecord.home().name(), 1, Integer::sum);
      }
    }
    return homes;
  }

  private void publishGauges() {
    metrics.gauge("sessions.open", () -> sessions::count);
    metrics.gauge(
        "homes", () -> () -> elections.values().stream().filter(HomeElection::isHome).count());
    metrics.gauge("configuration.version", () -> configuration::version);
    metrics.gauge("configuration.age_ms", () -> configuration::ageMillis);
    metrics.gauge("configuration.report_age_ms", () -> configuration::reportAgeMillis);
    metrics.gauge("store.away", () -> () -> ports.storeUnavailable().getAsBoolean() ? 1 : 0);
    metrics.gauge("store.relay", () -> () -> relays.isRelay() ? 1 : 0);
    metrics.gauge("statements.queued", () -> this::countQueued);
    metrics.gauge("accounts.required", () -> () -> accountRules.required() ? 1 : 0);
    metrics.gauge("accounts.confirmation_age_ms", () -> freshness::ageMillis);
  }

  private @Nullable ClientAccounts accounts() {
    Configuration c = configuration.current();
    return c == null ? null : c.accounts();
  }

  /** Returns whether this instance decides on clients' keys now. */
  private boolean decidesOnKeys() {
    return accounts() != null && isAnyHome();
  }

  private int countQueued() {
    int queued = 0;
    for (HomeElection election : List.copyOf(elections.values())) {
      GroupPool pool = election.pool();
      queued += pool == null ? 0 : pool.queueSize();
    }
    return queued;
  }

  /** Returns the instance's metrics. */
  public MetricRegistry metrics() {
    return metrics;
  }

  /** Starts to follow the store, registers the instance and starts its periodic tasks. */
  public void start() {
    followPrefix(
        ports.decoder().configurationKey(),
        FIRST_FOLLOW_DELAY,
        () -> false,
        new ConfigurationListener());
    // A home sends work to servers until it learns that they drain. Its own record it reads itself.
    followPrefix(
        ports.decoder().serverPrefix(), FIRST_FOLLOW_DELAY, this::isAnyHome, new ServerListener());
    followPrefix("lane/", Duration.ZERO, () -> false, new CoordinationListener());
    registry.register();
    ports.scheduler().repeat(TICK_INTERVAL, this::tick);
    ports.scheduler().repeat(FOLLOWER_INTERVAL, this::tickFollowers);
    ports.scheduler().repeat(timings.confirmInterval(), this::confirmRecords);
  }

  /**
   * Adapts the followers. Reads the configuration if other instances depend on a watch here, as a
   * watch does not tell for seconds that the store has fallen silent or that its answer was lost.
   */
  private void tickFollowers() {
    followers.values().forEach(PrefixFollower::tick);
    PrefixFollower follower = followers.get(ports.decoder().configurationKey());
    if (ports.storeUnavailable().getAsBoolean()
        || followers.values().stream().noneMatch(PrefixFollower::isFollowed)) {
      return;
    }
    ports
        .store()
        .get(ports.decoder().configurationKey())
        .thenAccept(
            result -> {
              if (result instanceof ReadResult.Unavailable) {
                followers.values().forEach(PrefixFollower::tick);
              } else if (result instanceof ReadResult.Read read && follower != null) {
                read.entries().forEach(follower::onEntryRead);
              }
            });
  }

  /** Runs the periodic checks of all parts, on one timer. */
  private void tick() {
    attention.check();
    router.tick();
    confirmer.tick();
    new ArrayList<>(elections.values()).forEach(HomeElection::tick);
    quota.tick();
    if (servers.isAnyDraining()) {
      drainInquiry.ask(
          elections.values().stream()
              .filter(HomeElection::isHome)
              .map(HomeElection::group)
              .toList());
    }
  }

  /** Returns the registry that opens clients' sessions. */
  public SessionRegistry sessions() {
    return sessions;
  }

  /** Returns the handler of connections from other instances. */
  public NettyMeshTransport.MeshAcceptor meshAcceptor() {
    return service;
  }

  /**
   * Returns whether the instance can accept new clients: it is not draining and has loaded the
   * configuration, the servers and the coordination data.
   */
  public boolean isReady() {
    return !draining && configuration.current() != null && coordinationLoaded && serversLoaded;
  }

  /** Returns the version of the configuration in force, 0 before the first one. */
  public long configurationVersion() {
    return configuration.version();
  }

  /** Returns whether this instance is the home of a group. */
  public boolean isHomeOf(String group) {
    HomeElection election = elections.get(group);
    return election != null && election.isHome();
  }

  /** Notifies the instance that the store answers again after an outage. */
  public void onStoreReturned() {
    servers.onStoreReturned();
  }

  /** Notifies the instance of the store's era in any answer of the store. */
  public void onStoreEra(long era) {
    store.onEra(era);
  }

  /** Replaces what this instance has read from, or written to, the store before its restore. */
  private void onStoreRestored() {
    ports
        .log()
        .event(DecisionLog.Priority.BELIEF, "store-restored")
        .with("era", store.era())
        .write();
    servers.onStoreReturned();
    registry.onStoreRestored();
    elections.values().forEach(HomeElection::onStoreRestored);
    confirming = false;
    confirmRecords();
  }

  /**
   * Drains the instance: hands its groups over and closes sessions as they become idle.
   *
   * <p>Once it is idle, waits for a moment until later homes of its groups know that it stopped; a
   * home that cannot ask any more has to wait for this instance's lease. Ends at the latest after
   * 5/4 of {@code limit}, whatever still runs.
   *
   * @param limit the time after which all sessions are closed, idle or not
   * @param onDone called once, at the end of the drain
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
    long startedNanos = ports.scheduler().nanoTime();
    continueDrain(startedNanos, startedNanos, limit, onDone);
  }

  /**
   * Checks whether the drain has ended.
   *
   * @param busyNanos the last time at which clients' work was running
   */
  private void continueDrain(long startedNanos, long busyNanos, Duration limit, Runnable onDone) {
    long now = ports.scheduler().nanoTime();
    long elapsedNanos = now - startedNanos;
    boolean isPastLimit = elapsedNanos > limit.toNanos();
    int open = sessions.count();
    if (elapsedNanos > LOAD_BALANCER_DELAY.toNanos()) {
      open = sessions.closeSessions(!isPastLimit);
    }
    boolean idle =
        open == 0
            && router.isIdle()
            && elections.values().stream().allMatch(HomeElection::isIdle)
            && elapsedNanos > LOAD_BALANCER_DELAY.toNanos();
    boolean released =
        elections.values().stream().allMatch(HomeElection::isReleased)
            || now - busyNanos > RELEASE_TIMEOUT.toNanos();
    if ((idle && released) || elapsedNanos > limit.toNanos() * 5 / 4) {
      ports.log().event(DecisionLog.Priority.BELIEF, "stopped").with("sessions", open).write();
      onDone.run();
      return;
    }
    long lastBusyNanos = idle ? busyNanos : now;
    ports
        .scheduler()
        .schedule(TICK_INTERVAL, () -> continueDrain(startedNanos, lastBusyNanos, limit, onDone));
  }

  private boolean isAnyHome() {
    return elections.values().stream().anyMatch(HomeElection::isHome);
  }

  private void followPrefix(
      String prefix, Duration delay, BooleanSupplier mustWatch, PrefixFollower.Listener listener) {
    PrefixFollower follower =
        new PrefixFollower(
            store,
            ports.storeUnavailable(),
            prefix,
            ports.scheduler(),
            relays,
            mustWatch,
            links::to,
            delay,
            listener);
    followers.put(prefix, follower);
    follower.start();
  }

  /**
   * Confirms this instance's homes with one linearizable read of all home records. A successor also
   * reads, less often. Skipped while an earlier read is in progress.
   */
  private void confirmRecords() {
    confirmRound++;
    boolean home = isAnyHome();
    boolean successor = elections.values().stream().anyMatch(HomeElection::isSuccessor);
    if (confirming || !(home || (successor && confirmRound % SUCCESSOR_CONFIRM_ROUNDS == 0))) {
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
                    (group, election) ->
                        election.onConfirmation(byKey.get(HomeRecord.keyOf(group)), sent));
              }
            });
  }

  private void onConfiguration() {
    updateElections();
    sessions.onConfiguration();
  }

  /** Applies the configuration and the present servers to the groups' elections. */
  private void updateElections() {
    Configuration c = configuration.current();
    if (c == null) {
      return;
    }
    c.groups().keySet().forEach(this::updateElection);
  }

  /** Applies the configuration and the present servers to the election of one group. */
  private void updateElection(String group) {
    Configuration c = configuration.current();
    GroupDeclaration declaration = c == null ? null : c.groups().get(group);
    if (c == null || declaration == null) {
      return;
    }
    HomeElection election = elections.get(group);
    if (election == null) {
      election = new HomeElection(group, context, () -> onHomeChanged(group));
      elections.put(group, election);
      if (coordinationLoaded) {
        election.onRecord(records.get(HomeRecord.keyOf(group)));
      }
    }
    election.setAccounts(c.accounts());
    election.updateDeclaration(declaration, c.transactionIdleLimit(), servers.ofGroup(group));
    election.tick();
  }

  private void onHomeChanged(String group) {
    monitorHomes();
    confirmer.tick();
    HomeElection election = elections.get(group);
    HomeRecord homeRecord = election == null ? null : election.record();
    if (homeRecord != null && !homeRecord.home().name().equals(self.name())) {
      links.to(homeRecord.home().address()).expectLateAnswers();
    }
    router.onHomeChanged(group);
  }

  /** Monitors the links to the homes of all groups, and no other links. */
  private void monitorHomes() {
    links.monitorOnly(otherHomes());
  }

  /** Returns the addresses of the homes of all groups, except this instance's. */
  private Set<String> otherHomes() {
    Set<String> homes = new HashSet<>();
    for (HomeElection election : elections.values()) {
      HomeRecord homeRecord = election.record();
      if (homeRecord != null && !homeRecord.home().name().equals(self.name())) {
        homes.add(homeRecord.home().address());
      }
    }
    return homes;
  }

  /** Tells the quota which instances hold shares of the accounts' limits. */
  private final class QuotaHomes implements FleetQuota.Homes {
    @Override
    public int heldGroups() {
      return (int) elections.values().stream().filter(HomeElection::isOnlyHome).count();
    }

    @Override
    public Map<String, Integer> otherHomes() {
      Map<String, Integer> others = new HashMap<>();
      for (HomeElection election : elections.values()) {
        HomeRecord homeRecord = election.record();
        if (homeRecord != null && !homeRecord.home().name().equals(self.name())) {
          others.merge(homeRecord.home().address(), 1, Integer::sum);
        }
      }
      return others;
    }
  }

  /** Passes changes of the links' state on to the elections. */
  private final class LinkObserver implements PeerLink.LinkListener {
    @Override
    public void onLost(String address, boolean refused) {
      for (HomeElection election : elections.values()) {
        HomeRecord homeRecord = election.record();
        if (homeRecord != null && homeRecord.home().address().equals(address)) {
          election.onHomeLost(refused);
        }
      }
    }

    @Override
    public void onResponse(String address) {
      for (HomeElection election : elections.values()) {
        HomeRecord homeRecord = election.record();
        if (homeRecord != null && homeRecord.home().address().equals(address)) {
          election.onHomeResponded();
        }
      }
    }

    @Override
    public void onPeerConfigurationVersion(PeerLink link, long version) {
      if (version < configuration.version()) {
        link.sendConfiguration(configuration.text());
      }
    }

    @Override
    public void onConfiguration(String text) {
      configuration.update(text, "a home");
    }
  }

  /** Returns where an entry of the configuration came from, for the log. */
  private String configurationSource(KeyValueEntry entry) {
    PrefixFollower follower = followers.get(ports.decoder().configurationKey());
    String source = follower == null ? "the store" : follower.source();
    return source + " at revision " + StoreEra.revisionOf(entry.modRevision());
  }

  private final class ConfigurationListener implements PrefixFollower.Listener {
    @Override
    public void onAll(List<KeyValueEntry> entries) {
      entries.forEach(e -> onChange(e, false));
    }

    @Override
    public void onChange(KeyValueEntry entry, boolean deleted) {
      if (!deleted && entry.key().equals(ports.decoder().configurationKey())) {
        configuration.update(entry.value(), configurationSource(entry));
      }
    }
  }

  private final class ServerListener implements PrefixFollower.Listener {
    @Override
    public void onAll(List<KeyValueEntry> entries) {
      Map<String, ServerDirectory.Entry> present = new HashMap<>();
      for (KeyValueEntry e : entries) {
        ports
            .decoder()
            .decodeServer(e.key(), e.value())
            .ifPresent(s -> present.put(s.id(), new ServerDirectory.Entry(s, e.modRevision())));
      }
      serversLoaded = true;
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
            .ifPresentOrElse(
                s -> servers.put(new ServerDirectory.Entry(s, entry.modRevision())),
                () -> servers.markMissing(id));
      }
    }
  }

  /** Takes the entries that instances share: the registered instances and the home records. */
  private final class CoordinationListener implements PrefixFollower.Listener {
    @Override
    public void onAll(List<KeyValueEntry> entries) {
      registry.clear();
      records.clear();
      coordinationLoaded = true;
      entries.forEach(e -> onChange(e, false));
      elections.forEach(
          (group, election) -> election.onRecord(records.get(HomeRecord.keyOf(group))));
      elections.values().forEach(HomeElection::tick);
    }

    @Override
    public void onChange(KeyValueEntry entry, boolean deleted) {
      if (entry.key().startsWith(InstanceRegistry.KEY_PREFIX)) {
        registry.onEntry(entry, deleted);
      } else if (entry.key().startsWith(HomeRecord.KEY_PREFIX) && !deleted) {
        records.put(entry.key(), entry);
        HomeElection election =
            elections.get(entry.key().substring(HomeRecord.KEY_PREFIX.length()));
        if (election != null) {
          election.onRecord(entry);
        }
      }
    }
  }
}

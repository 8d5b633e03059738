package org.chicorylane.internal.instance;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.ssl.SslContext;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.chicorylane.Settings;
import org.chicorylane.internal.backend.ServerConnector;
import org.chicorylane.internal.caller.CallerServer;
import org.chicorylane.internal.caller.CallerTls;
import org.chicorylane.internal.declaration.DeclarationReader;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.dissemination.DeclarationFeed;
import org.chicorylane.internal.failover.FailoverTimings;
import org.chicorylane.internal.home.HomeEnvironment;
import org.chicorylane.internal.home.HomeRegistry;
import org.chicorylane.internal.membership.MembershipAgent;
import org.chicorylane.internal.membership.MembershipOptions;
import org.chicorylane.internal.operator.GossipFleetStatus;
import org.chicorylane.internal.operator.OperatorServer;
import org.chicorylane.internal.platform.EndpointSliceInstanceList;
import org.chicorylane.internal.platform.EtcdKeyValueStore;
import org.chicorylane.internal.relay.EntryRouter;
import org.chicorylane.internal.relay.GroupService;
import org.chicorylane.internal.relay.RelayClient;
import org.chicorylane.internal.relay.RelayServer;
import org.chicorylane.internal.relay.RelayTimings;
import org.chicorylane.internal.report.MeasuredGroupService;
import org.chicorylane.internal.report.MetricsPage;
import org.chicorylane.internal.report.ReportPages;
import org.chicorylane.internal.report.ServiceLevels;
import org.chicorylane.internal.session.SessionIds;
import org.chicorylane.internal.session.SessionTokenCodec;
import org.chicorylane.internal.settings.TlsFiles;
import org.chicorylane.internal.time.SteadyInstantSource;
import org.tinylog.Logger;

/**
 * A running proxy instance: the entry for callers and the home of some database groups.
 *
 * <pre>{@code
 * Instance instance = Instance.start(settings);
 * instance.drain().join();
 * instance.close();
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class Instance implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
  private static final Duration LIST_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(2);
  private static final int PROCESS_ID_BYTES = 6;

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(0, NioIoHandler.newFactory());
  private final Vertx vertx = Vertx.vertx();
  private final MetricRegistry metrics = new MetricRegistry();
  private final InstantSource clock = SteadyInstantSource.start();
  private final ServiceLevels levels;
  private final EtcdKeyValueStore store;
  private final RelayServer relayServer;
  private final MembershipAgent membership;
  private final MembershipFleet fleet;
  private final RelayClient peers;
  private final HomeRegistry homes;
  private final DeclarationFeed declarations;
  private final CallerServer callerServer;
  private final Optional<OperatorServer> operatorServer;
  private volatile boolean draining;

  private Instance(Settings settings) {
    levels = new ServiceLevels(settings.instanceId(), clock.instant());
    store =
        new EtcdKeyValueStore(
            settings.platform().keyValue(), EtcdKeyValueStore.Options.DEFAULT, metrics);
    RelayRequestHandler relayHandler = new RelayRequestHandler();
    relayServer = RelayServer.start(loops, settings.addresses().relay(), relayHandler, clock);
    membership = startMembership(settings);
    fleet = new MembershipFleet(membership);
    peers = new RelayClient(loops, RelayTimings.DEFAULT);
    declarations =
        DeclarationFeed.start(
            store,
            membership,
            new RelayPuller(peers),
            (revision, documents) ->
                DeclarationReader.assembleLenient(revision, documents).declarations(),
            DeclarationFeed::isWatcher,
            clock,
            new SecureRandom().nextLong());
    homes = new HomeRegistry(homeEnvironment(settings), loops);
    membership.addListener(
        snapshot -> {
          fleet.update(snapshot);
          homes.refresh();
        });
    declarations.addListener(
        d -> {
          relayHandler.publish(declarations.snapshot());
          homes.refresh();
        });
    relayHandler.start(homes);
    callerServer =
        CallerServer.builder()
            .address(settings.addresses().caller())
            .service(measuredService())
            .declarations(declarations::current)
            .tokens(new SessionTokenCodec(settings.sessionKeys(), settings.sessionTokenLength()))
            .ids(new SessionIds(new SecureRandom()))
            .limits(settings.callerLimits())
            .clock(clock)
            .metrics(metrics)
            .tls(settings.tls().map(Instance::tlsContext).orElse(null))
            .ready(this::isReady)
            .start();
    operatorServer = settings.operatorToken().map(token -> startOperatorServer(settings, token));
  }

  /** Starts an instance, which serves callers when this method returns. */
  public static Instance start(Settings settings) {
    Instance instance = new Instance(settings);
    Logger.info(
        "instance {} in {} serves callers on {}",
        settings.instanceId(),
        settings.availabilityZone(),
        instance.callerAddress());
    return instance;
  }

  /** Returns the address that callers connect to. */
  public InetSocketAddress callerAddress() {
    return callerServer.address();
  }

  /** Returns the TCP port of the relay protocol between instances. */
  public int relayPort() {
    return relayServer.port();
  }

  /** Returns the UDP port of the membership protocol between instances. */
  public int membershipPort() {
    return membership.port();
  }

  /** Returns the metrics of the instance. */
  public MetricRegistry metrics() {
    return metrics;
  }

  /** Returns the declarations in force on this instance. */
  public Declarations declarations() {
    return declarations.current();
  }

  /**
   * Finishes requests in flight and hands over the groups whose home is here. Completes when no
   * work is left.
   */
  public CompletableFuture<Void> drain() {
    draining = true;
    membership.announceLeaving();
    return CompletableFuture.allOf(homes.drain(), callerServer.drain());
  }

  /** Stops the instance without waiting for requests in flight. */
  @Override
  public void close() {
    operatorServer.ifPresent(OperatorServer::close);
    callerServer.close();
    membership.close();
    declarations.close();
    peers.close();
    relayServer.close();
    store.close();
    homes.stop();
    vertx
        .close()
        .toCompletionStage()
        .toCompletableFuture()
        .completeOnTimeout(null, SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .join();
    loops.shutdownGracefully(0, SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static SslContext tlsContext(TlsFiles files) {
    try {
      return CallerTls.fromFiles(files.certificate(), files.key());
    } catch (IOException e) {
      throw new UncheckedIOException("the TLS files of the settings cannot be read", e);
    }
  }

  private boolean isReady() {
    return !draining && declarations.current().revision() > 0;
  }

  private GroupService measuredService() {
    GroupService router = new EntryRouter(fleet, peers, homes, loops, clock, metrics);
    return new MeasuredGroupService(router, levels, metrics, declarations::current, clock);
  }

  private OperatorServer startOperatorServer(Settings settings, String token) {
    OperatorServer server = bindOperatorServer(settings, token);
    ReportPages pages = new ReportPages(levels, metrics, declarations::current, clock);
    server.mount("/v1/report/burn", "application/json", pages::burnJson);
    server.mount("/v1/report/burn.html", "text/html; charset=utf-8", pages::burnHtml);
    server.mount("/metrics", MetricsPage.CONTENT_TYPE, pages::metricsText);
    return server;
  }

  private OperatorServer bindOperatorServer(Settings settings, String token) {
    return OperatorServer.start(
        settings.addresses().operator(),
        token,
        store,
        new GossipFleetStatus(membership, declarations::current),
        clock);
  }

  private MembershipAgent startMembership(Settings settings) {
    return MembershipAgent.start(
        new MembershipAgent.Identity(
            settings.instanceId(),
            settings.addresses().relay().getAddress().getHostAddress(),
            settings.addresses().membership().getPort(),
            relayServer.port(),
            settings.availabilityZone()),
        MembershipOptions.DEFAULT,
        new EndpointSliceInstanceList(settings.platform().instanceList(), LIST_TIMEOUT, metrics),
        clock,
        metrics,
        new SecureRandom().nextLong());
  }

  private HomeEnvironment homeEnvironment(Settings settings) {
    byte[] processId = new byte[PROCESS_ID_BYTES];
    new SecureRandom().nextBytes(processId);
    return new HomeEnvironment(
        HexFormat.of().formatHex(processId),
        new ServerConnector(vertx, CONNECT_TIMEOUT),
        store,
        fleet,
        peers,
        declarations::current,
        FailoverTimings.DEFAULTS,
        settings.homeLimits(),
        group -> levels.openFailoverGap(declarations.current(), group, clock.instant()),
        clock,
        metrics);
  }
}

package org.chicorylane.bench.soak;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.chicorylane.standin.wire.InstanceSettings;
import org.chicorylane.standin.wire.LoopbackPorts;
import org.chicorylane.standin.wire.ReplicatedGroupListener;
import org.chicorylane.standin.wire.ReplicatedServer;
import org.chicorylane.standin.wire.ReplicatedSystem;
import org.chicorylane.standin.wire.WireRows;

/** The processes of a soak, the stand-ins that they use, and the links between them. */
final class SoakFleet implements AutoCloseable {

  private final SoakOptions options;
  private final Timeline timeline;
  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(4);
  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = loops.next();
  private final LoopbackPorts ports = new LoopbackPorts();
  private final Map<String, LinkProxy> serverLinks = new HashMap<>();
  private final List<LinkProxy> storeLinks = new ArrayList<>();
  private final List<LinkProxy> promotionLinks = new ArrayList<>();
  private final List<InstanceProcess> instances = new ArrayList<>();
  private final ReplicatedSystem system;

  /** Ends the instances if this program is ended by a signal. */
  private final Thread shutdownHook = new Thread(this::endInstances);

  private volatile boolean ending;

  /** End of the last outage of the store, 0 before the first one. */
  private volatile long storeOutageEndNanos;

  /**
   * Starts the stand-ins; the instances follow with {@link #startInstances}.
   *
   * @param listener receives what happens in the database groups
   */
  SoakFleet(SoakOptions options, Timeline timeline, ReplicatedGroupListener listener)
      throws IOException {
    this.options = options;
    this.timeline = timeline;
    List<String> groups = IntStream.range(0, options.groups()).mapToObj(i -> "group-" + i).toList();
    system = new ReplicatedSystem(groups, listener, options.seed(), this::linkAddress);
    system.groups().forEach(g -> g.setRows(WireRows.EVERY_BYTE));
  }

  /** Returns the address of the link to a server, which is opened if there is none yet. */
  private String linkAddress(String address) {
    synchronized (serverLinks) {
      return serverLinks.computeIfAbsent(address, this::openLink).address();
    }
  }

  private LinkProxy openLink(String address) {
    try {
      return new LinkProxy(loop, ports.reserve(), address);
    } catch (IOException e) {
      throw new IllegalStateException("no port for the link to " + address, e);
    }
  }

  private void endInstances() {
    instances.forEach(InstanceProcess::close);
  }

  /** Starts the instances, each with links of its own to the store and the promotion endpoint. */
  void startInstances() throws IOException {
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    for (int i = 0; i < options.instances(); i++) {
      LinkProxy store = openLink(system.store().relayedAddress());
      LinkProxy promotions = openLink(system.promotionAddress());
      storeLinks.add(store);
      promotionLinks.add(promotions);
      String name = "instance-" + i;
      InstanceSettings settings =
          new InstanceSettings(name, "zone-" + i % 3, ports, store.address(), promotions.address());
      instances.add(
          new InstanceProcess(
              name,
              settings,
              options.command(),
              options.logs(),
              executor,
              timeline,
              System::nanoTime));
    }
  }

  ReplicatedSystem system() {
    return system;
  }

  List<InstanceProcess> instances() {
    return instances;
  }

  /** Returns the instance with a name. */
  InstanceProcess instance(String name) {
    return instances.stream().filter(i -> i.name().equals(name)).findFirst().orElseThrow();
  }

  /** Returns the link between all instances and a server. */
  LinkProxy linkTo(ReplicatedServer server) {
    synchronized (serverLinks) {
      return serverLinks.computeIfAbsent(server.address(), this::openLink);
    }
  }

  List<LinkProxy> storeLinks() {
    return storeLinks;
  }

  List<LinkProxy> promotionLinks() {
    return promotionLinks;
  }

  /** Returns a ready instance, or any if the one that was drawn is not ready. */
  InstanceProcess chooseReady(Random random) {
    InstanceProcess drawn = instances.get(random.nextInt(instances.size()));
    return drawn.isReady() ? drawn : instances.get(random.nextInt(instances.size()));
  }

  /** Runs an action after a delay, in milliseconds. */
  void after(long millis, FleetAction action) {
    executor.schedule(
        () -> {
          try {
            action.run();
          } catch (IOException | RuntimeException e) {
            timeline.violation("HARNESS", "a fault could not be injected: " + e);
          }
        },
        millis,
        TimeUnit.MILLISECONDS);
  }

  /** An action on the fleet. */
  interface FleetAction {
    void run() throws IOException;
  }

  /** Records an event in the timeline. */
  void event(String text) {
    timeline.event(text);
  }

  /** Notes that the store is down for a time from now on. */
  void noteStoreOutage(long millis) {
    storeOutageEndNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /**
   * Returns whether a statement may reach a server late, or come from an instance that could not
   * learn that the server drains: in the last {@code millis} the link to the server or a link to
   * the store was disturbed, the store was down, or an instance was paused.
   */
  boolean wasDisturbedWithin(ReplicatedServer server, long millis) {
    long sinceOutageNanos = System.nanoTime() - storeOutageEndNanos;
    return linkTo(server).wasDisturbedWithin(millis)
        || storeLinks.stream().anyMatch(link -> link.wasDisturbedWithin(millis))
        || instances.stream().anyMatch(i -> i.wasPausedWithin(millis))
        || (storeOutageEndNanos != 0 && sinceOutageNanos < TimeUnit.MILLISECONDS.toNanos(millis));
  }

  /** Returns an id for the server that takes the place of another one. */
  String nextServerId(ReplicatedServer server) {
    String id = server.id();
    int dash = id.lastIndexOf('-');
    return id.substring(0, dash + 1) + (Integer.parseInt(id.substring(dash + 1)) + 1);
  }

  boolean onlyPlannedWork() {
    return options.isPlannedWorkOnly();
  }

  /** Tells the sessions to end. */
  void endSessions() {
    ending = true;
  }

  boolean isEnding() {
    return ending;
  }

  @Override
  public void close() throws IOException {
    ending = true;
    Runtime.getRuntime().removeShutdownHook(shutdownHook);
    endInstances();
    executor.shutdownNow();
    system.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    ports.close();
  }
}

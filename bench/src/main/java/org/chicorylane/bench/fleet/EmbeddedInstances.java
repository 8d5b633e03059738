package org.chicorylane.bench.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.chicorylane.Settings;
import org.chicorylane.internal.instance.Instance;
import org.chicorylane.internal.session.SessionKey;
import org.chicorylane.internal.settings.Addresses;
import org.chicorylane.internal.settings.PlatformEndpoints;
import org.chicorylane.standin.platform.PlatformInstance;

/** Instances that run in this process and listen on free ports of the loopback interface. */
public final class EmbeddedInstances implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final Duration START_TIMEOUT = Duration.ofSeconds(15);
  private static final long POLL_NANOS = Duration.ofMillis(20).toNanos();
  private static final List<String> ZONES = List.of("hall-liben", "hall-smichov", "hall-chodov");

  private final List<Instance> instances = new ArrayList<>();

  /**
   * Starts {@code count} instances, spread over three availability zones, and waits until each has
   * read the declarations.
   */
  public static EmbeddedInstances start(StandInFleet fleet, int count) {
    EmbeddedInstances started = new EmbeddedInstances();
    byte[] secret = new byte[SessionKey.MINIMUM_SECRET_BYTES];
    new SecureRandom().nextBytes(secret);
    SessionKey key = new SessionKey("demo", secret);
    for (int i = 0; i < count; i++) {
      String id = "instance-" + (i + 1);
      String zone = ZONES.get(i % ZONES.size());
      Instance instance = Instance.start(settings(id, zone, fleet.platformUri(), key));
      started.instances.add(instance);
      fleet
          .platform()
          .register(
              new PlatformInstance(
                  id, HOST, instance.relayPort(), instance.membershipPort(), zone));
    }
    started.awaitDeclarations();
    return started;
  }

  /** Returns the instances. */
  public List<Instance> all() {
    return List.copyOf(instances);
  }

  /** Returns the base URIs at which callers reach the instances. */
  public List<URI> entries() {
    return instances.stream()
        .map(i -> URI.create("http://" + HOST + ":" + i.callerAddress().getPort()))
        .toList();
  }

  @Override
  public void close() {
    instances.forEach(Instance::close);
  }

  private void awaitDeclarations() {
    Instant deadline = Instant.now().plus(START_TIMEOUT);
    while (instances.stream().anyMatch(i -> i.declarations().revision() == 0)) {
      if (Instant.now().isAfter(deadline)) {
        throw new IllegalStateException(
            "an instance received no declarations within " + START_TIMEOUT);
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
  }

  private static Settings settings(String id, String zone, URI platform, SessionKey key) {
    InetSocketAddress freePort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    return Settings.builder(id, zone)
        .addresses(new Addresses(freePort, freePort, freePort, freePort))
        .platform(new PlatformEndpoints(List.of(platform), List.of(platform)))
        .sessionKeys(List.of(key))
        .build();
  }
}

package org.chicorylane.internal.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.chicorylane.internal.runtime.AttentionClock;
import org.chicorylane.internal.runtime.Scheduler;

/**
 * The links of an instance to its peers, one per address. Links are created when they are first
 * used, and share one timer.
 *
 * <pre>{@code
 * links.to("10.1.0.8:7440").ask(question, timeout, handler);
 * }</pre>
 *
 * <p>Confined to the instance's thread.
 */
public final class PeerLinks {

  /** Interval at which links are checked for due pings. */
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

  private final MeshTransport transport;
  private final Scheduler scheduler;
  private final AttentionClock attention;
  private final LongSupplier configurationVersion;
  private final PeerLink.LinkListener listener;
  private final Map<String, PeerLink> links = new HashMap<>();

  /**
   * Creates an empty collection of links.
   *
   * @param attention measures how long a peer has been silent
   * @param configurationVersion returns the version of this instance's configuration
   * @param listener receives the events of all links
   */
  public PeerLinks(
      MeshTransport transport,
      Scheduler scheduler,
      AttentionClock attention,
      LongSupplier configurationVersion,
      PeerLink.LinkListener listener) {
    this.transport = transport;
    this.scheduler = scheduler;
    this.attention = attention;
    this.configurationVersion = configurationVersion;
    this.listener = listener;
    scheduler.repeat(TICK_INTERVAL, () -> new ArrayList<>(links.values()).forEach(PeerLink::tick));
  }

  /** Returns the link to the peer at {@code address}, a host and port. */
  public PeerLink to(String address) {
    return links.computeIfAbsent(
        address,
        a -> new PeerLink(a, transport, scheduler, attention, configurationVersion, listener));
  }

  /** Monitors the links to {@code addresses}, and no other links. */
  public void monitorOnly(Set<String> addresses) {
    addresses.forEach(address -> to(address).setMonitored(true));
    links.forEach(
        (address, link) -> {
          if (!addresses.contains(address)) {
            link.setMonitored(false);
          }
        });
  }
}

package org.chicorylane.internal.proxy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.chicorylane.internal.membership.Rendezvous;
import org.chicorylane.internal.topology.PeerInstance;

/**
 * Decides which instances watch the key-value store. In an availability zone with many instances
 * only a few do, the relays, and the others follow them. This bounds the number of calls that a
 * change causes: it grows with the number of zones, not with the number of instances.
 *
 * <p>All instances with the same list of instances choose the same relays. Confined to the
 * instance's thread.
 */
final class WatchRelays {

  /** Up to this number of instances, all those of a zone watch the store. */
  private static final int SMALL_ZONE = 4;

  /** Relays in a larger zone; the second one is for the loss of the first. */
  private static final int RELAYS_PER_ZONE = 2;

  private final PeerInstance self;
  private final Supplier<List<PeerInstance>> instances;

  /**
   * Creates the choice for the instance {@code self}.
   *
   * @param instances returns the known instances, which may include {@code self}
   */
  WatchRelays(PeerInstance self, Supplier<List<PeerInstance>> instances) {
    this.self = self;
    this.instances = instances;
  }

  /** Returns whether this instance watches the store itself. */
  boolean isRelay() {
    return relaysOf(self.zone()).stream().anyMatch(p -> p.name().equals(self.name()));
  }

  /**
   * Returns the relays that this instance follows, in the order in which it asks them: those of its
   * zone first. The order differs between instances, which spreads the followers.
   */
  List<PeerInstance> inOrder() {
    Comparator<PeerInstance> byOwnRank =
        Comparator.comparingLong(p -> Rendezvous.weight(self.name(), p.name()));
    List<PeerInstance> own = new ArrayList<>();
    List<PeerInstance> others = new ArrayList<>();
    byZone().forEach((zone, all) -> (zone.equals(self.zone()) ? own : others).addAll(first(all)));
    own.sort(byOwnRank);
    others.sort(byOwnRank);
    own.addAll(others);
    own.removeIf(p -> p.name().equals(self.name()));
    return own;
  }

  private List<PeerInstance> relaysOf(String zone) {
    return first(byZone().getOrDefault(zone, List.of()));
  }

  private Map<String, List<PeerInstance>> byZone() {
    Map<String, List<PeerInstance>> zones = new TreeMap<>();
    for (PeerInstance p : instances.get()) {
      zones.computeIfAbsent(p.zone(), zone -> new ArrayList<>()).add(p);
    }
    return zones;
  }

  /** Returns the relays among the instances of one zone. */
  private static List<PeerInstance> first(List<PeerInstance> ofZone) {
    if (ofZone.size() <= SMALL_ZONE) {
      return ofZone;
    }
    return ofZone.stream()
        .sorted(Comparator.comparingLong(p -> Rendezvous.weight("watch", p.name())))
        .limit(RELAYS_PER_ZONE)
        .toList();
  }
}

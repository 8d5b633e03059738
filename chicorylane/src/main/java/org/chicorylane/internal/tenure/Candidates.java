package org.chicorylane.internal.tenure;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToIntFunction;
import org.chicorylane.internal.membership.Rendezvous;
import org.chicorylane.internal.topology.PeerInstance;

/**
 * Ranks the instances that may be the home of a group: those that are home of the fewest groups for
 * their capacity first, and among equals the larger ones more often.
 */
final class Candidates {

  private Candidates() {}

  /**
   * Ranks instances for a group.
   *
   * @param homes tells of how many other groups an instance, by its name, is the home
   */
  static List<PeerInstance> rank(
      String group, List<PeerInstance> instances, ToIntFunction<String> homes) {
    return instances.stream()
        .sorted(
            Comparator.<PeerInstance>comparingDouble(p -> load(p, homes))
                .thenComparingDouble(p -> -score(group, p))
                .thenComparing(PeerInstance::name))
        .toList();
  }

  private static double load(PeerInstance peer, ToIntFunction<String> homes) {
    return (double) homes.applyAsInt(peer.name()) / peer.weight();
  }

  /** Weighted rendezvous: the chance to be first is in proportion to the weight. */
  private static double score(String group, PeerInstance peer) {
    double unit = ((Rendezvous.weight(group, peer.name()) >>> 11) + 1) * 0x1.0p-53;
    return -peer.weight() / Math.log(unit);
  }
}

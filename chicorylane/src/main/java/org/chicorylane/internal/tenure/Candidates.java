package org.chicorylane.internal.tenure;

import java.util.Comparator;
import java.util.List;
import org.chicorylane.internal.membership.Rendezvous;
import org.chicorylane.internal.topology.PeerInstance;

/** Ranks the instances that may be the home of a group, larger ones more often first. */
final class Candidates {

  private Candidates() {}

  static List<PeerInstance> rank(String group, List<PeerInstance> instances) {
    return instances.stream()
        .sorted(
            Comparator.<PeerInstance>comparingDouble(p -> -score(group, p))
                .thenComparing(PeerInstance::name))
        .toList();
  }

  /** Weighted rendezvous: the chance to be first is in proportion to the weight. */
  private static double score(String group, PeerInstance peer) {
    double unit = ((Rendezvous.weight(group, peer.name()) >>> 11) + 1) * 0x1.0p-53;
    return -peer.weight() / Math.log(unit);
  }
}

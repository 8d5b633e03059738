package org.chicorylane.internal.election;

import java.util.ArrayList;
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
    List<PeerInstance> ranked = new ArrayList<>(instances);
    ranked.sort((a, b) -> compare(group, a, b, homes));
    return List.copyOf(ranked);
  }

  private static int compare(
      String group, PeerInstance a, PeerInstance b, ToIntFunction<String> homes) {
    int byLoad = Double.compare(load(a, homes), load(b, homes));
    if (byLoad != 0) {
      return byLoad;
    }
    int byScore = Double.compare(score(group, b), score(group, a));
    return byScore != 0 ? byScore : a.name().compareTo(b.name());
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

package org.chicorylane.internal.election;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import org.chicorylane.internal.membership.Rendezvous;
import org.chicorylane.internal.topology.PeerInstance;

/**
 * Ranks the candidates for the home of a group: ascending by the number of groups they already
 * serve relative to their weight. Ties are broken by weighted rendezvous hashing, which prefers
 * larger instances more often.
 */
final class Candidates {

  private Candidates() {}

  /**
   * Returns the instances ranked for a group, best candidate first.
   *
   * @param otherHomes returns the number of other groups whose home is the named instance
   */
  static List<PeerInstance> rank(
      String group, List<PeerInstance> instances, ToIntFunction<String> otherHomes) {
    List<PeerInstance> ranked = new ArrayList<>(instances);
    ranked.sort((a, b) -> compare(group, a, b, otherHomes));
    return List.copyOf(ranked);
  }

  private static int compare(
      String group, PeerInstance a, PeerInstance b, ToIntFunction<String> otherHomes) {
    int byLoad = Double.compare(load(a, otherHomes), load(b, otherHomes));
    if (byLoad != 0) {
      return byLoad;
    }
    int byScore = Double.compare(score(group, b), score(group, a));
    return byScore != 0 ? byScore : a.name().compareTo(b.name());
  }

  private static double load(PeerInstance peer, ToIntFunction<String> otherHomes) {
    return (double) otherHomes.applyAsInt(peer.name()) / peer.weight();
  }

  /**
   * Returns the weighted rendezvous score: the chance of ranking first is proportional to weight.
   */
  private static double score(String group, PeerInstance peer) {
    double unit = ((Rendezvous.weight(group, peer.name()) >>> 11) + 1) * 0x1.0p-53;
    return -peer.weight() / Math.log(unit);
  }
}

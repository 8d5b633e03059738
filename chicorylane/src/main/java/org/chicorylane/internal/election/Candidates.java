package org.chicorylane.internal.election;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.ToIntFunction;
import org.chicorylane.internal.membership.Rendezvous;
import org.chicorylane.internal.topology.PeerInstance;

/**
 * Ranks the candidates for the home of a group: ascending by the number of groups that they would
 * then serve, relative to their weight. Ties are broken by weighted rendezvous hashing.
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
    List<Candidate> ranked = new ArrayList<>(instances.size());
    for (PeerInstance peer : instances) {
      ranked.add(new Candidate(peer, load(peer, otherHomes), score(group, peer)));
    }
    Collections.sort(ranked);
    List<PeerInstance> order = new ArrayList<>(ranked.size());
    ranked.forEach(candidate -> order.add(candidate.peer));
    return order;
  }

  /** An instance with its sort keys, which are computed once and not at each comparison. */
  private record Candidate(PeerInstance peer, double load, double score)
      implements Comparable<Candidate> {

    @Override
    public int compareTo(Candidate other) {
      int byLoad = Double.compare(load, other.load);
      if (byLoad != 0) {
        return byLoad;
      }
      int byScore = Double.compare(other.score, score);
      return byScore != 0 ? byScore : peer.name().compareTo(other.peer.name());
    }
  }

  private static double load(PeerInstance peer, ToIntFunction<String> otherHomes) {
    return (otherHomes.applyAsInt(peer.name()) + 1.0) / peer.weight();
  }

  /**
   * Returns the weighted rendezvous score: the chance of ranking first is proportional to weight.
   */
  private static double score(String group, PeerInstance peer) {
    double unit = ((Rendezvous.weight(group, peer.name()) >>> 11) + 1) * 0x1.0p-53;
    return -peer.weight() / Math.log(unit);
  }
}

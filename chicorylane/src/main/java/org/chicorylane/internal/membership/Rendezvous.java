package org.chicorylane.internal.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Rendezvous hashing, also called highest random weight hashing (Thaler, Ravishankar: "Using
 * Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on Networking, 1998). It ranks
 * the members that may own a name. Instances that agree on the members compute the same ranking
 * without further coordination.
 *
 * <pre>{@code
 * List<Member> candidates = Rendezvous.candidates("plans", snapshot.liveMembers());
 * }</pre>
 *
 * <p>When a member joins or leaves, the first candidate changes only for the names that this member
 * gains or loses. Stateless and thread-safe.
 */
public final class Rendezvous {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private record Weighted(Member member, long weight, int rankInZone) {}

  private Rendezvous() {}

  /**
   * Returns the members that may own {@code name}, best first. The list spreads over availability
   * zones: the best member of each zone precedes the second-best member of any zone.
   *
   * @param members the members to rank; leaving and dead ones are excluded
   */
  public static List<Member> candidates(String name, Collection<Member> members) {
    List<Member> eligible = new ArrayList<>();
    for (Member member : members) {
      if (member.status() == MemberStatus.ALIVE || member.status() == MemberStatus.SUSPECT) {
        eligible.add(member);
      }
    }
    return rankWithinZones(name, eligible).stream()
        .sorted(Comparator.comparingInt(Weighted::rankInZone))
        .map(Weighted::member)
        .toList();
  }

  /** Returns the members by descending weight, each with its rank within its zone. */
  private static List<Weighted> rankWithinZones(String name, List<Member> members) {
    List<Weighted> weighted = new ArrayList<>();
    members.forEach(m -> weighted.add(new Weighted(m, weight(name, m.instanceId()), 0)));
    weighted.sort(
        Comparator.comparingLong(Weighted::weight)
            .reversed()
            .thenComparing(w -> w.member().instanceId()));
    Map<String, Integer> ranks = new HashMap<>();
    List<Weighted> ranked = new ArrayList<>();
    for (Weighted w : weighted) {
      int rank = ranks.merge(w.member().availabilityZone(), 1, Integer::sum);
      ranked.add(new Weighted(w.member(), w.weight(), rank));
    }
    return ranked;
  }

  /** Returns the 64-bit hash by which the instances are ranked for {@code name}. */
  public static long weight(String name, String instanceId) {
    long hash = FNV_OFFSET;
    for (byte b : (name + '\0' + instanceId).getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (b & 0xff)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** Mixes all bits with the finalizer of SplitMix64 (Steele, Lea, Flood, OOPSLA 2014). */
  private static long mix(long hash) {
    long z = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }
}

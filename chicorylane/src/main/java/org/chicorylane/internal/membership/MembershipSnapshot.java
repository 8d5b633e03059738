package org.chicorylane.internal.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * The members of the fleet as this instance believes them to be at one moment.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self this instance
 * @param others all other members on record, including dead ones
 */
public record MembershipSnapshot(Member self, List<Member> others) {

  /** Makes a defensive copy of the list. */
  public MembershipSnapshot {
    others = List.copyOf(others);
  }

  /** Returns this instance and all others that are not believed to be dead. */
  public List<Member> liveMembers() {
    List<Member> live = new ArrayList<>();
    live.add(self);
    others.stream().filter(m -> m.status().isLive()).forEach(live::add);
    return live;
  }

  /** Returns the live members that may become the home of {@code group}, best first. */
  public List<Member> candidates(String group) {
    return Rendezvous.candidates(group, liveMembers());
  }
}

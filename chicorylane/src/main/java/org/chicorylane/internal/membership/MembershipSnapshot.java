package org.chicorylane.internal.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Who is believed to be in the fleet at one moment.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self this instance
 * @param others all other members remembered, the dead included
 */
public record MembershipSnapshot(Member self, List<Member> others) {

  /** Copies the list. */
  public MembershipSnapshot {
    others = List.copyOf(others);
  }

  /** Returns this instance and all others that are not believed dead. */
  public List<Member> liveMembers() {
    List<Member> live = new ArrayList<>();
    live.add(self);
    others.stream().filter(m -> m.status().isLive()).forEach(live::add);
    return live;
  }

  /** Returns the live members that may be home of {@code group}, the preferred first. */
  public List<Member> candidates(String group) {
    return Rendezvous.candidates(group, liveMembers());
  }
}

package org.chicorylane.internal.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards the choice of homes against needless moves after the loss of a member, an uneven load, all
 * first candidates in one availability zone, and the selection of leaving or dead members.
 */
final class RendezvousTest {

  private static final int GROUPS = 1_800;

  private final List<Member> members =
      IntStream.range(0, 30).mapToObj(i -> member(i, MemberStatus.ALIVE)).toList();

  @Test
  void testLossOfMemberMovesOnlyItsGroups() {
    Member lost = members.get(7);
    List<Member> remaining = new ArrayList<>(members);
    remaining.remove(lost);
    for (int g = 0; g < GROUPS; g++) {
      Member before = Rendezvous.candidates("group-" + g, members).get(0);
      Member after = Rendezvous.candidates("group-" + g, remaining).get(0);
      if (!before.equals(lost)) {
        assertThat(after).isEqualTo(before);
      }
    }
  }

  @Test
  void testNoMemberIsHomeOfTwiceItsShare() {
    Map<Member, Integer> homes = new HashMap<>();
    for (int g = 0; g < GROUPS; g++) {
      homes.merge(Rendezvous.candidates("group-" + g, members).get(0), 1, Integer::sum);
    }
    assertThat(homes).hasSize(members.size());
    homes.values().forEach(n -> assertThat(n).isLessThan(2 * GROUPS / members.size()));
  }

  @Test
  void testFirstCandidatesAreInDifferentZones() {
    List<Member> candidates = Rendezvous.candidates("plans", members);
    assertThat(candidates.subList(0, 3).stream().map(Member::availabilityZone).distinct().toList())
        .hasSize(3);
    assertThat(candidates).containsExactlyElementsIn(members);
  }

  @Test
  void testLeavingAndDeadMembersAreExcluded() {
    List<Member> mixed =
        List.of(
            member(0, MemberStatus.ALIVE),
            member(1, MemberStatus.LEAVING),
            member(2, MemberStatus.DEAD));
    assertThat(Rendezvous.candidates("plans", mixed)).containsExactly(mixed.get(0));
  }

  private static Member member(int i, MemberStatus status) {
    return new Member("instance-" + i, "10.0.0." + i, 1, 2, "hall-" + i % 3, 1, status);
  }
}

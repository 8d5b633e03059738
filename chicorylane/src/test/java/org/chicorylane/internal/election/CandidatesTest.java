package org.chicorylane.internal.election;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.topology.PeerInstance;
import org.junit.jupiter.api.Test;

/**
 * Tests the ranking of candidates. A ranking that ignores load or weight would collect homes on one
 * instance, or overload a small one.
 */
final class CandidatesTest {

  private static List<PeerInstance> instances(int count, int weightOfFirst) {
    List<PeerInstance> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(new PeerInstance("i" + i, "x", "a", "z", i == 0 ? weightOfFirst : 100));
    }
    return all;
  }

  @Test
  void testEqualInstancesGetOneHomeEach() {
    List<PeerInstance> all = instances(8, 100);
    Map<String, Integer> homes = new HashMap<>();
    for (int g = 0; g < 8; g++) {
      String first = Candidates.rank("g" + g, all, n -> homes.getOrDefault(n, 0)).get(0).name();
      homes.merge(first, 1, Integer::sum);
    }
    assertThat(homes).hasSize(8);
  }

  @Test
  void testInstanceWithLowWeightRarelyRanksFirst() {
    List<PeerInstance> all = instances(4, 5);
    int first = 0;
    for (int g = 0; g < 400; g++) {
      first += Candidates.rank("g" + g, all, n -> 0).get(0).name().equals("i0") ? 1 : 0;
    }
    assertThat(first).isLessThan(40);
  }

  @Test
  void testLargeInstanceRanksBeforeSmallOnesUntilItIsAsLoaded() {
    List<PeerInstance> all = instances(4, 350);
    assertThat(Candidates.rank("g", all, n -> n.equals("i0") ? 2 : 0).get(0).name())
        .isEqualTo("i0");
    assertThat(Candidates.rank("g", all, n -> n.equals("i0") ? 3 : 0).get(0).name())
        .isNotEqualTo("i0");
  }

  @Test
  void testLoadOfEachInstanceIsReadOnce() {
    List<String> read = new ArrayList<>();
    Candidates.rank(
        "g",
        instances(95, 100),
        n -> {
          read.add(n);
          return 0;
        });
    assertThat(read).containsNoDuplicates();
  }
}

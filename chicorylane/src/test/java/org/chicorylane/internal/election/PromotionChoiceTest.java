package org.chicorylane.internal.election;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.passthrough.ServerStatus;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.BackendServer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/**
 * Tests the choice of the server to promote. Promoting a replica whose log lacks an acknowledged
 * commit would lose that commit; this can happen if a replica that holds it has not reported.
 */
final class PromotionChoiceTest {

  private final Map<String, ServerStatus> statuses = new HashMap<>();
  private boolean draining;

  private void setReplicaStatus(String id, long term, long offset) {
    statuses.put(id, new ServerStatus(false, term, new LogPosition(term, offset), 2, 0));
  }

  private BackendServer server(String id) {
    return new BackendServer(
        id, "plans", "10.0.0.1:1", "z", 3, draining && id.equals("b"), false, 1);
  }

  private PromotionChoice choose(
      @Nullable LogPosition acknowledged, @Nullable LogPosition primaryReceived) {
    return PromotionChoice.choose(
        List.of(server("a"), server("b"), server("c")),
        statuses,
        "a",
        1,
        acknowledged,
        primaryReceived);
  }

  private static String promotedId(PromotionChoice choice) {
    return ((PromotionChoice.Promote) choice).server().id();
  }

  @Test
  void testReplicaWithLongestLogIsPromotedWhenAllReported() {
    setReplicaStatus("b", 1, 100);
    setReplicaStatus("c", 1, 120);
    assertThat(promotedId(choose(null, null))).isEqualTo("c");
  }

  @Test
  void testLogOfLaterTermCountsAsLonger() {
    setReplicaStatus("b", 2, 5);
    setReplicaStatus("c", 1, 120);
    assertThat(promotedId(choose(null, null))).isEqualTo("b");
  }

  @Test
  void testNonDrainingReplicaIsPromotedAmongEqualLogs() {
    draining = true;
    setReplicaStatus("b", 1, 100);
    setReplicaStatus("c", 1, 100);
    assertThat(promotedId(choose(null, null))).isEqualTo("c");
  }

  @Test
  void testSingleReplicaIsPromotedIfItHoldsAllAcknowledgedCommits() {
    setReplicaStatus("c", 1, 120);
    assertThat(promotedId(choose(new LogPosition(1, 120), null))).isEqualTo("c");
  }

  @Test
  void testSingleReplicaThatLacksAcknowledgedCommitsIsNotPromoted() {
    setReplicaStatus("c", 1, 119);
    assertThat(choose(new LogPosition(1, 120), null)).isInstanceOf(PromotionChoice.Wait.class);
  }

  @Test
  void testSingleReplicaIsNotPromotedIfAcknowledgedPositionIsUnknown() {
    setReplicaStatus("c", 1, 120);
    assertThat(choose(null, null)).isInstanceOf(PromotionChoice.Wait.class);
  }

  @Test
  void testPrimaryLogEndDoesNotReplaceHigherAcknowledgedPosition() {
    setReplicaStatus("c", 1, 110);
    assertThat(choose(new LogPosition(1, 120), new LogPosition(1, 100)))
        .isInstanceOf(PromotionChoice.Wait.class);
  }

  @Test
  void testServerThatLeadsLaterTermIsAdopted() {
    setReplicaStatus("c", 1, 120);
    statuses.put("b", new ServerStatus(true, 2, new LogPosition(2, 1), 0, 0));
    assertThat(choose(null, null)).isEqualTo(new PromotionChoice.Leads("b", 2));
  }

  @Test
  void testServerThatReplacedPrimaryInSameTermIsNotPromoted() {
    statuses.put("b", new ServerStatus(true, 1, new LogPosition(1, 130), 2, 0));
    setReplicaStatus("c", 1, 120);
    assertThat(promotedId(choose(new LogPosition(1, 120), null))).isEqualTo("c");
  }

  @Test
  void testWaitsIfNoReplicaReported() {
    assertThat(choose(LogPosition.ZERO, null)).isInstanceOf(PromotionChoice.Wait.class);
  }
}

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

final class PromotionChoiceTest {

  private final Map<String, ServerStatus> statuses = new HashMap<>();
  private boolean draining;

  private void told(String id, long term, long offset) {
    statuses.put(id, new ServerStatus(false, term, new LogPosition(term, offset), 2, 0));
  }

  private BackendServer server(String id) {
    return new BackendServer(
        id, "plans", "10.0.0.1:1", "z", 3, draining && id.equals("b"), false, 1);
  }

  private PromotionChoice choose(@Nullable LogPosition acknowledged, @Nullable LogPosition lead) {
    return PromotionChoice.choose(
        List.of(server("a"), server("b"), server("c")), statuses, "a", 1, acknowledged, lead);
  }

  private static String promoted(PromotionChoice choice) {
    return ((PromotionChoice.Promote) choice).server().id();
  }

  @Test
  void testFurthestOfAllIsPromoted() {
    told("b", 1, 100);
    told("c", 1, 120);
    assertThat(promoted(choose(null, null))).isEqualTo("c");
  }

  @Test
  void testLaterTermIsFurther() {
    told("b", 2, 5);
    told("c", 1, 120);
    assertThat(promoted(choose(null, null))).isEqualTo("b");
  }

  @Test
  void testAmongEqualsTheOneThatStaysIsPromoted() {
    draining = true;
    told("b", 1, 100);
    told("c", 1, 100);
    assertThat(promoted(choose(null, null))).isEqualTo("c");
  }

  @Test
  void testOneReplicaIsEnoughIfItCoversWhatWasAcknowledged() {
    told("c", 1, 120);
    assertThat(promoted(choose(new LogPosition(1, 120), null))).isEqualTo("c");
  }

  @Test
  void testOneReplicaThatLacksAcknowledgedCommitsIsNotPromoted() {
    told("c", 1, 119);
    assertThat(choose(new LogPosition(1, 120), null)).isInstanceOf(PromotionChoice.Wait.class);
  }

  @Test
  void testWithoutKnowledgeOneReplicaIsNotEnough() {
    told("c", 1, 120);
    assertThat(choose(null, null)).isInstanceOf(PromotionChoice.Wait.class);
  }

  @Test
  void testOldWordOfThePrimaryDoesNotOutweighAcknowledgedCommits() {
    told("c", 1, 110);
    assertThat(choose(new LogPosition(1, 120), new LogPosition(1, 100)))
        .isInstanceOf(PromotionChoice.Wait.class);
  }

  @Test
  void testServerThatLeadsLaterTermIsTaken() {
    told("c", 1, 120);
    statuses.put("b", new ServerStatus(true, 2, new LogPosition(2, 1), 0, 0));
    assertThat(choose(null, null)).isEqualTo(new PromotionChoice.Leads("b", 2));
  }

  @Test
  void testServerThatTookThePrimarysPlaceIsNotPromoted() {
    statuses.put("b", new ServerStatus(true, 1, new LogPosition(1, 130), 2, 0));
    told("c", 1, 120);
    assertThat(promoted(choose(new LogPosition(1, 120), null))).isEqualTo("c");
  }

  @Test
  void testSilenceOfAllMeansToWait() {
    assertThat(choose(LogPosition.ZERO, null)).isInstanceOf(PromotionChoice.Wait.class);
  }
}

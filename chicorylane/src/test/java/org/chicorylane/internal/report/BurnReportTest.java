package org.chicorylane.internal.report;

import static com.google.common.truth.Truth.assertThat;
import static org.chicorylane.internal.report.BurnFixture.LATENCY;
import static org.chicorylane.internal.report.BurnFixture.START;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong burn reports: miscounted requests, windows that keep old counts, alerts that
 * fire on the wrong burn rate, merges that add what must stay separate, and names that break out of
 * the HTML page.
 */
final class BurnReportTest {
  private static final Declarations DECLARATIONS = BurnFixture.declarations("billing-fast", 0.99);

  private final ServiceLevels levels = new ServiceLevels("entry-1", START);

  private record BudgetCase(
      int good, int bad, double target, double burnRate, double budgetLeft, AlertLevel alert) {}

  @Test
  void testComputesBurnRateBudgetLeftAndAlert() {
    List<BudgetCase> cases =
        List.of(
            new BudgetCase(0, 0, 0.99, 0, 1, AlertLevel.NONE),
            new BudgetCase(100, 0, 0.99, 0, 1, AlertLevel.NONE),
            new BudgetCase(199, 1, 0.99, 0.5, 0.5, AlertLevel.NONE),
            new BudgetCase(98, 2, 0.99, 2, -1, AlertLevel.TICKET),
            new BudgetCase(93, 7, 0.99, 7, -6, AlertLevel.PAGE_SLOW),
            new BudgetCase(85, 15, 0.99, 15, -14, AlertLevel.PAGE_FAST),
            new BudgetCase(0, 10, 0.9, 10, -9, AlertLevel.PAGE_SLOW));
    for (BudgetCase c : cases) {
      Declarations caseDeclarations = BurnFixture.declarations("o", c.target());
      ServiceLevels fresh = new ServiceLevels("entry-1", START);
      BurnFixture.countRequests(fresh, caseDeclarations, c.good(), c.bad(), START);
      ObjectiveBurn objectiveBurn = fresh.report(caseDeclarations, START).objectives().get(0);
      assertThat(objectiveBurn.windows().get(0).burnRate()).isWithin(1e-9).of(c.burnRate());
      assertThat(objectiveBurn.budgetLeft()).isWithin(1e-9).of(c.budgetLeft());
      assertThat(objectiveBurn.alert()).isEqualTo(c.alert());
    }
  }

  @Test
  void testAlertFiresOnlyWhileBothWindowsBurn() {
    BurnFixture.countRequests(levels, DECLARATIONS, 0, 100, START);
    assertThat(burnAt(START).alert()).isEqualTo(AlertLevel.PAGE_FAST);
    assertThat(burnAt(START.plus(Duration.ofMinutes(6))).alert()).isEqualTo(AlertLevel.PAGE_SLOW);
    assertThat(burnAt(START.plus(Duration.ofMinutes(31))).alert()).isEqualTo(AlertLevel.TICKET);
    assertThat(burnAt(START.plus(Duration.ofHours(7))).alert()).isEqualTo(AlertLevel.NONE);
  }

  @Test
  void testClassifiesOutcomesAsGoodBadOrNotCounted() {
    for (NotRunReason reason : NotRunReason.values()) {
      ObjectiveResult expected =
          switch (reason) {
            case OVERLOADED,
                DEADLINE_TOO_CLOSE,
                NO_PRIMARY,
                TOO_STALE,
                NOT_HOME,
                HOME_UNREACHABLE,
                SESSION_HISTORY_LOST,
                SHUTTING_DOWN ->
                ObjectiveResult.BAD;
            case UNKNOWN_GROUP, UNKNOWN_TRANSACTION, KEY_REUSED, NOT_ALLOWED ->
                ObjectiveResult.NOT_COUNTED;
          };
      assertThat(resultOf(BurnFixture.notRun(reason), Duration.ZERO)).isEqualTo(expected);
    }
    Outcome rejected = new Outcome.Rejected("23505", "duplicate key", 0);
    Duration late = LATENCY.plusMillis(1);
    assertThat(resultOf(BurnFixture.COMPLETED, LATENCY)).isEqualTo(ObjectiveResult.GOOD);
    assertThat(resultOf(BurnFixture.COMPLETED, late)).isEqualTo(ObjectiveResult.BAD);
    assertThat(resultOf(rejected, LATENCY)).isEqualTo(ObjectiveResult.GOOD);
    assertThat(resultOf(rejected, late)).isEqualTo(ObjectiveResult.BAD);
    assertThat(resultOf(BurnFixture.UNKNOWN, Duration.ZERO)).isEqualTo(ObjectiveResult.BAD);
  }

  @Test
  void testCountsLeaveWindowsAsTimePasses() {
    BurnFixture.countRequests(levels, DECLARATIONS, 3, 1, START);
    assertThat(countsAt(START.plus(Duration.ofSeconds(299)), 0)).isEqualTo(new Counts(3, 1));
    assertThat(countsAt(START.plus(Duration.ofMinutes(5)), 0)).isEqualTo(Counts.NONE);
    assertThat(countsAt(START.plus(Duration.ofMinutes(59)), 2)).isEqualTo(new Counts(3, 1));
    assertThat(countsAt(START.plus(Duration.ofHours(1)), 2)).isEqualTo(Counts.NONE);
    assertThat(countsAt(START.plus(Duration.ofHours(71)), 4)).isEqualTo(new Counts(3, 1));
    BurnFixture.countRequests(levels, DECLARATIONS, 1, 0, START.plus(Duration.ofHours(72)));
    assertThat(countsAt(START.plus(Duration.ofHours(72)), 4)).isEqualTo(new Counts(1, 0));
  }

  @Test
  void testMergeAddsCountsAndRecomputesRates() {
    ServiceLevels otherLevels = new ServiceLevels("entry-2", START.plusSeconds(5));
    BurnFixture.countRequests(levels, DECLARATIONS, 100, 0, START);
    BurnFixture.countRequests(otherLevels, DECLARATIONS, 98, 2, START.plusSeconds(90));
    Instant now = START.plusSeconds(100);
    BurnReport merged =
        otherLevels
            .report(DECLARATIONS, now)
            .merge(levels.report(DECLARATIONS, START.plusSeconds(30)));
    ObjectiveBurn objectiveBurn = merged.objectives().get(0);
    assertThat(merged.objectives()).hasSize(1);
    assertThat(objectiveBurn.budget()).isEqualTo(new Counts(198, 2));
    assertThat(objectiveBurn.windows().get(0).burnRate()).isWithin(1e-9).of(1);
    assertThat(merged.instances().stream().map(InstanceCoverage::instance))
        .containsExactly("entry-1", "entry-2")
        .inOrder();
    assertThat(objectiveBurn.lastHour().points().subList(58, 60))
        .containsExactly(new Counts(100, 0), new Counts(98, 2))
        .inOrder();
  }

  @Test
  void testMergeKeepsDifferentDeclarationsOfAnObjectiveSeparate() {
    Declarations changed = BurnFixture.declarations("billing-fast", 0.999);
    BurnReport merged = levels.report(DECLARATIONS, START).merge(levels.report(changed, START));
    assertThat(merged.objectives()).hasSize(2);
  }

  @Test
  void testMergeJoinsOverlappingGapsOfOneGroup() {
    BurnReport a = gaps(gap("plans", 0, 4), gap("fleet", 0, 4), gap("plans", 20, 21));
    BurnReport b = gaps(gap("plans", 2, 6));
    assertThat(a.merge(b).failoverGaps())
        .containsExactly(gap("plans", 0, 6), gap("fleet", 0, 4), gap("plans", 20, 21));
  }

  @Test
  void testReportIsEqualAfterWritingAndReadingJson() {
    BurnFixture.countRequests(levels, DECLARATIONS, 3, 1, START);
    BurnReport report =
        levels.report(DECLARATIONS, START).merge(gaps(new FailoverGap("plans", START, null)));
    assertThat(BurnJson.read(BurnJson.write(report))).hasValue(report);
  }

  @Test
  void testJsonReaderRejectsInvalidReports() {
    String missingGroup =
        BurnJson.write(gaps(gap("plans", 0, 4))).replace("\"group\":\"plans\",", "");
    for (String bad :
        List.of("", "null", "[]", "{}", "{\"at\":\"soon\"}", missingGroup, "<html>")) {
      assertThat(BurnJson.read(bad)).isEmpty();
    }
  }

  @Test
  void testHtmlPageEscapesNames() {
    Declarations hostile = BurnFixture.declarations("<script>\"x\"&</script>", 0.99);
    BurnFixture.countRequests(levels, hostile, 3, 1, START);
    String page = BurnPage.render(levels.report(hostile, START));
    assertThat(page).doesNotContain("<script");
    assertThat(page).contains("&lt;script&gt;&quot;x&quot;&amp;&lt;/script&gt;");
    assertThat(page).contains("src=\"data:image/png;base64,iVBORw0KGgo");
  }

  @Test
  void testRingCountsMatchListOfEvents() {
    Random random = new Random(20260301);
    CountRing ring = new CountRing(Duration.ofSeconds(10), 12);
    List<Instant> events = new ArrayList<>();
    Instant now = START;
    for (int i = 0; i < 5000; i++) {
      now = now.plusMillis(random.nextInt(20) == 0 ? random.nextInt(200_000) : random.nextInt(900));
      ring.add(false, now);
      events.add(now);
      int buckets = 1 + random.nextInt(12);
      long end = Math.floorDiv(now.getEpochSecond(), 10) + 1;
      Instant first = Instant.ofEpochSecond((end - buckets) * 10);
      assertThat(ring.sum(Duration.ofSeconds(10L * buckets), now).bad())
          .isEqualTo(events.stream().filter(e -> !e.isBefore(first)).count());
    }
  }

  @Test
  void testGapIsClosedOnlyByWriteSubmittedWithinIt() {
    Declarations plans = BurnFixture.declarationsWithGroup("plans");
    levels.openFailoverGap(plans, "plans", START);
    levels.openFailoverGap(plans, "plans", START.plusSeconds(1));
    levels.openFailoverGap(plans, "unheard-of", START);
    Instant late = START.plusSeconds(2);
    levels.closeFailoverGap("plans", START.minusMillis(1), late);
    assertThat(levels.report(plans, late).failoverGaps())
        .containsExactly(new FailoverGap("plans", START, null));
    levels.closeFailoverGap("plans", START.plusMillis(1), late);
    assertThat(levels.report(plans, late).failoverGaps()).containsExactly(gap("plans", 0, 2));
    assertThat(levels.report(plans, late.plus(Duration.ofDays(4))).failoverGaps()).isEmpty();
  }

  @Test
  void testCountsReadsByReplicasAndPrimary() {
    Declarations plans = BurnFixture.declarationsWithGroup("plans");
    for (int i = 0; i < 4; i++) {
      levels.recordRead(plans, "plans", i != 0, START);
    }
    levels.recordRead(plans, "unheard-of", true, START);
    Instant later = START.plus(Duration.ofHours(2));
    assertThat(levels.report(plans, later).reads())
        .containsExactly(
            new GroupReads("plans", Duration.ofHours(1), 0, 0),
            new GroupReads("plans", Duration.ofDays(3), 3, 1));
    assertThat(new GroupReads("plans", Duration.ofDays(3), 3, 1).replicaShare()).isEqualTo(0.75);
  }

  private ObjectiveBurn burnAt(Instant now) {
    return levels.report(DECLARATIONS, now).objectives().get(0);
  }

  private Counts countsAt(Instant now, int window) {
    return burnAt(now).windows().get(window).counts();
  }

  private static ObjectiveResult resultOf(Outcome outcome, Duration elapsed) {
    return ObjectiveResult.of(outcome, elapsed, LATENCY);
  }

  private static FailoverGap gap(String group, int start, int end) {
    return new FailoverGap(group, START.plusSeconds(start), START.plusSeconds(end));
  }

  private static BurnReport gaps(FailoverGap... gaps) {
    return new BurnReport(START, List.of(), List.of(), List.of(gaps), List.of());
  }
}

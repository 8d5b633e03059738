package org.chicorylane.internal.election.model;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import org.chicorylane.internal.election.model.ModelRules.Bounds;
import org.junit.jupiter.api.Test;

/**
 * Searches all runs of the model within bounds. With all conditions no acknowledged commit may be
 * lost, no read may be stale and no two homes may promote; without one of them the search must find
 * a violation, which shows that it can find it.
 *
 * <p>A longer search is started with {@code -Drule.bounds=3,1,2,2,1,1} (in the order of {@link
 * Bounds}) and {@code -Drule.states=30000000}, and needs more memory than the tests have by
 * default.
 */
final class PromotionRuleTest {

  /** Bounds with one home, a second one that may replace it, one commit and one promotion. */
  private static final Bounds SMALL = new Bounds(2, 1, 2, 2, 0, 0);

  private static final Set<Violation> ALL_VIOLATIONS = EnumSet.allOf(Violation.class);

  private static final int MAXIMUM_STATES = Integer.getInteger("rule.states", 3_000_000);

  @Test
  void testAllConditions_oneChangeOfHome() {
    assertNoViolation(SMALL);
  }

  @Test
  void testAllConditions_replicaRestarts() {
    assertNoViolation(new Bounds(2, 1, 2, 1, 0, 1));
  }

  @Test
  void testAllConditions_instanceRestarts() {
    assertNoViolation(new Bounds(2, 1, 1, 2, 1, 0));
  }

  /** The bounds of this search can be set; by default they are the least ones. */
  @Test
  void testAllConditions_withinGivenBounds() {
    String given = System.getProperty("rule.bounds", "2,1,2,1,0,0");
    int[] b = Arrays.stream(given.split(",", -1)).mapToInt(Integer::parseInt).toArray();
    assertNoViolation(new Bounds(b[0], b[1], b[2], b[3], b[4], b[5]));
  }

  // Guards against a second home that serves at the old primary during the first one's promotion.
  @Test
  void testInheritedPromotionNotAwaited_twoHomes() {
    assertViolation(Condition.WAIT_FOR_INHERITED_PROMOTION, SMALL, Violation.TWO_HOMES);
  }

  // Guards against a commit at the old primary that an inherited promotion does not cover.
  @Test
  void testInheritedPromotionNotAwaited_commitIsLost() {
    assertViolation(Condition.WAIT_FOR_INHERITED_PROMOTION, SMALL, Violation.LOST);
  }

  // Guards against reads at the old primary after an inherited promotion took effect.
  @Test
  void testInheritedPromotionNotAwaited_readIsStale() {
    assertViolation(Condition.WAIT_FOR_INHERITED_PROMOTION, SMALL, Violation.STALE);
  }

  // Guards against a success that is passed on after the choice has read the bound.
  @Test
  void testSuccessAfterChoice_isLost() {
    assertViolation(Condition.NO_SUCCESS_AFTER_CHOICE, SMALL, Violation.LOST);
  }

  // Guards against a success of the old primary that is passed on once the halt was lifted.
  @Test
  void testSuccessOfEarlierTerm_isLost() {
    assertViolation(Condition.NO_SUCCESS_OF_EARLIER_TERM, SMALL, Violation.LOST);
  }

  // Guards against a success that arrives after the lease has ended.
  @Test
  void testSuccessWithoutLease_isLost() {
    assertViolation(Condition.NO_SUCCESS_WITHOUT_LEASE, SMALL, Violation.LOST);
  }

  // Guards against a promotion without the replica that holds the commit and is not registered.
  @Test
  void testUnregisteredReplicaForgotten_commitIsLost() {
    assertViolation(Condition.REMEMBER_MEMBERS, SMALL, Violation.LOST);
  }

  // Guards against a home that serves at a server while another one may still be promoted.
  @Test
  void testOtherServerAdoptedDuringPromotion_twoHomes() {
    Bounds twoPromotions = new Bounds(2, 1, 3, 2, 0, 0);
    assertViolation(Condition.ADOPT_RECORDED_TARGET_ONLY, twoPromotions, Violation.TWO_HOMES);
  }

  // Guards against a recorded promotion that a later home repeats though another server is served.
  @Test
  void testOtherPrimaryServedBeforeRecorded_commitIsLost() {
    Bounds twoPromotions = new Bounds(2, 1, 3, 2, 0, 0);
    assertViolation(Condition.RECORD_OTHER_PRIMARY_FIRST, twoPromotions, Violation.LOST);
  }

  // Guards against a home that serves again while its unanswered write can still be applied.
  @Test
  void testUnansweredPromotionIgnored_commitIsLost() {
    assertViolation(Condition.OVERWRITE_UNANSWERED_PROMOTION, SMALL, Violation.LOST);
  }

  // Guards against a log end that a replica reported while it was still receiving.
  @Test
  void testAnswerBeforeStopCounts_commitIsLost() {
    assertViolation(Condition.COUNT_STOPPED_ANSWERS_ONLY, SMALL, Violation.LOST);
  }

  // Guards against a bound that was read while an earlier home could still report successes.
  @Test
  void testBoundReadBeforeExclusion_commitIsLost() {
    assertViolation(
        EnumSet.of(Condition.LEARN_BOUND_AFTER_EXCLUSION, Condition.LOSE_BOUND_WITH_UNKNOWN_HOLDER),
        SMALL,
        Violation.LOST);
  }

  // Guards against a read at the old primary by a home that refused connections and still runs.
  @Test
  void testRefusedConnectionCountsAsStop_readIsStale() {
    assertViolation(Condition.COUNT_CONFIRMED_STOPS_ONLY, SMALL, Violation.STALE);
  }

  // Guards against a commit that such a home acknowledges during the promotion.
  @Test
  void testRefusedConnectionCountsAsStop_commitIsLost() {
    assertViolation(Condition.COUNT_CONFIRMED_STOPS_ONLY, SMALL, Violation.LOST);
  }

  // Guards against a bound that does not include the successes of a successor that fell silent.
  @Test
  void testSilentSuccessorNotCounted_commitIsLost() {
    assertViolation(Condition.LOSE_BOUND_WITH_UNKNOWN_HOLDER, SMALL, Violation.LOST);
  }

  // Guards against a stopped successor that tells no position when it is asked a second time.
  @Test
  void testStopAnswerNotRepeated_commitIsLost() {
    Bounds twoPromotions = new Bounds(2, 1, 3, 1, 0, 0);
    assertViolation(Condition.REPEAT_STOP_ANSWER, twoPromotions, Violation.LOST);
  }

  // Guards against a successor that counts as stopped though a new record lets it stand in again.
  @Test
  void testSuccessorExcludedForGood_twoHomes() {
    Bounds twoPromotions = new Bounds(2, 1, 3, 1, 0, 0);
    assertViolation(Condition.EXCLUDE_SUCCESSOR_AGAIN, twoPromotions, Violation.TWO_HOMES);
  }

  // Guards against two orders for different servers that both take effect.
  @Test
  void testTwoTargetsOrdered_commitIsLost() {
    assertViolation(Condition.ONE_TARGET, new Bounds(2, 1, 3, 2, 0, 0), Violation.LOST);
  }

  // Guards against a stopped replica that restarts, receives and confirms before the choice.
  @Test
  void testOwnSuccessNotCovered_commitIsLost() {
    Bounds replicaRestarts = new Bounds(2, 1, 2, 1, 0, 1);
    assertViolation(Condition.COVER_OWN_SUCCESSES, replicaRestarts, Violation.LOST);
  }

  // Guards against a repeated order that takes effect after a second promotion.
  @Test
  void testRepeatedOrderForgotten_commitIsLost() {
    Bounds threePromotions = new Bounds(2, 1, 4, 1, 0, 0);
    assertViolation(Condition.REMEMBER_REPEATED_ORDERS, threePromotions, Violation.LOST);
  }

  // Guards against a success of a retired pool, at an instance that became the home again.
  @Test
  void testRetiredPoolNotHalted_commitIsLost() {
    Bounds twoChangesOfHome = new Bounds(2, 1, 2, 3, 0, 0);
    assertViolation(Condition.HALT_RETIRED_WORK, twoChangesOfHome, Violation.LOST);
  }

  // Review case 11: guards against counting the log of a replaced primary, which cannot be chosen,
  // at a home that does not know what the home before it acknowledged.
  @Test
  void testReplacedPrimaryCountsAsReported_commitIsLost() {
    Bounds twoPromotions = new Bounds(2, 1, 3, 2, 0, 0);
    assertViolation(Condition.COUNT_REPLACED_PRIMARY_AS_SILENT, twoPromotions, Violation.LOST);
  }

  // Review case 11: the same at one home, which does not compare the log with its own successes.
  @Test
  void testReplacedPrimaryCountsAsReportedAndOwnSuccessNotCovered_commitIsLost() {
    assertViolation(
        EnumSet.of(Condition.COUNT_REPLACED_PRIMARY_AS_SILENT, Condition.COVER_OWN_SUCCESSES),
        new Bounds(2, 1, 3, 1, 0, 0),
        Violation.LOST);
  }

  @Test
  void testAllConditions_groupIsServedAgain() {
    assertThat(findStuck(EnumSet.noneOf(Condition.class)).violation()).isEmpty();
  }

  // Guards against a replaced primary that counts as silent for ever.
  @Test
  void testReplacedPrimaryDoesNotStepDown_groupIsNotServedAgain() {
    assertStuckWithout(Condition.STEP_DOWN_REPLACED_PRIMARY);
  }

  // Guards against a stopped replica that can never hold the log of the primary.
  @Test
  void testStoppedReplicaDoesNotCatchUp_groupIsNotServedAgain() {
    assertStuckWithout(Condition.RESUME_BEHIND_LEADER);
  }

  // Guards against waiting for a server that crashed though the former primary holds its log.
  @Test
  void testFormerPrimaryIsNotChosen_groupIsNotServedAgain() {
    assertStuckWithout(Condition.CHOOSE_FORMER_PRIMARY);
  }

  private static void assertStuckWithout(Condition omitted) {
    assertThat(findStuck(EnumSet.of(omitted)).violation()).isEqualTo("STUCK");
  }

  /** Searches one instance and two promotions, while a server may crash for good. */
  private static StateSearch.Result findStuck(EnumSet<Condition> omitted) {
    Bounds bounds = new Bounds(1, 1, 3, 1, 0, 0, 1);
    EnumSet<Condition> kept = EnumSet.complementOf(omitted);
    StateSearch.Result result =
        StateSearch.findStuck(new ModelRules(kept, bounds, Platform.BOUNDED), MAXIMUM_STATES);
    System.out.printf(
        "progress without %s, %s: %s, %,d states, depth %d%n",
        omitted, bounds, result.violation(), result.states(), result.depth());
    result.trace().forEach(step -> System.out.println("  " + step));
    assertThat(result.isComplete()).isTrue();
    return result;
  }

  // Shows that the rule needs a bound on orders: no condition here replaces it.
  @Test
  void testOrdersWithoutBound_commitIsLost() {
    assertLostOn(Platform.UNBOUNDED);
  }

  // Shows that a platform that checks tokens does not replace the bound.
  @Test
  void testFencedOrdersWithoutBound_commitIsLost() {
    assertLostOn(Platform.FENCED);
  }

  private static void assertNoViolation(Bounds bounds) {
    StateSearch.Result result =
        search(EnumSet.allOf(Condition.class), bounds, Platform.BOUNDED, ALL_VIOLATIONS);
    assertWithMessage("%s", result.trace()).that(result.violation()).isEmpty();
    assertThat(result.isComplete()).isTrue();
  }

  private static void assertViolation(Condition omitted, Bounds bounds, Violation expected) {
    assertViolation(EnumSet.of(omitted), bounds, expected);
  }

  private static void assertViolation(
      EnumSet<Condition> omitted, Bounds bounds, Violation expected) {
    EnumSet<Condition> kept = EnumSet.complementOf(omitted);
    StateSearch.Result result = search(kept, bounds, Platform.BOUNDED, EnumSet.of(expected));
    assertThat(result.violation()).isEqualTo(expected.name());
  }

  private static void assertLostOn(Platform platform) {
    Bounds threePromotions = new Bounds(2, 1, 4, 1, 0, 0);
    EnumSet<Condition> all = EnumSet.allOf(Condition.class);
    StateSearch.Result result = search(all, threePromotions, platform, ALL_VIOLATIONS);
    assertThat(result.violation()).isEqualTo(Violation.LOST.name());
  }

  private static StateSearch.Result search(
      EnumSet<Condition> kept, Bounds bounds, Platform platform, Set<Violation> violations) {
    long startNanos = System.nanoTime();
    ModelRules rules = new ModelRules(kept, bounds, platform);
    StateSearch.Result result = new StateSearch(rules, violations, MAXIMUM_STATES).run();
    long millis = (System.nanoTime() - startNanos) / 1_000_000;
    String found = result.violation().isEmpty() ? "no violation" : result.violation();
    System.out.printf(
        "without %s, %s, %s: %s, %,d states, depth %d, complete: %s, %d ms%n",
        EnumSet.complementOf(kept),
        bounds,
        platform,
        found,
        result.states(),
        result.depth(),
        result.isComplete(),
        millis);
    result.trace().forEach(step -> System.out.println("  " + step));
    return result;
  }
}

package org.chicorylane.internal.election.model;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import org.chicorylane.internal.election.model.ModelRules.Bounds;
import org.junit.jupiter.api.Test;

/**
 * Searches all runs of the model within bounds. With all conditions no acknowledged commit may be
 * lost, no read may be stale and no two homes may promote; without one of them the search must find
 * a violation, which shows that it can find it.
 *
 * <p>A longer search is started with {@code -Drule.bounds=3,2,3,2,1,1} (in the order of {@link
 * Bounds}) and {@code -Drule.states=20000000}.
 */
final class PromotionRuleTest {

  /** Bounds with one home, a second one that may replace it, one commit and one promotion. */
  private static final Bounds SMALL = new Bounds(2, 1, 2, 2, 0, 0);

  private static final int MAXIMUM_STATES = Integer.getInteger("rule.states", 3_000_000);

  @Test
  void testAllConditions_oneChangeOfHome() {
    assertNoViolation(SMALL, true);
  }

  @Test
  void testAllConditions_replicaRestarts() {
    assertNoViolation(new Bounds(2, 1, 2, 1, 0, 1), true);
  }

  @Test
  void testAllConditions_threePromotions() {
    assertNoViolation(new Bounds(2, 1, 4, 1, 0, 0), true);
  }

  /** The bounds of this search can be set; by default it ends before all states were searched. */
  @Test
  void testAllConditions_withinGivenBounds() {
    String given = System.getProperty("rule.bounds", "3,2,3,2,1,1");
    int[] b = Arrays.stream(given.split(",", -1)).mapToInt(Integer::parseInt).toArray();
    assertNoViolation(new Bounds(b[0], b[1], b[2], b[3], b[4], b[5]), false);
  }

  // Guards against a second home that serves at the old primary during the first one's promotion.
  @Test
  void testInheritedPromotionNotAwaited_twoHomes() {
    assertViolation(Condition.WAIT_FOR_INHERITED_PROMOTION, SMALL, Violation.TWO_HOMES);
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

  // Guards against a log end that a replica reported while it was still receiving.
  @Test
  void testAnswerBeforeStopCounts_commitIsLost() {
    assertViolation(Condition.COUNT_STOPPED_ANSWERS_ONLY, SMALL, Violation.LOST);
  }

  // Guards against a bound that was read while an earlier home could still report successes.
  @Test
  void testBoundReadBeforeExclusion_commitIsLost() {
    assertViolation(Condition.LEARN_BOUND_AFTER_EXCLUSION, SMALL, Violation.LOST);
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

  // Records what no rule of the homes can prevent: a platform that carries out orders at any time.
  @Test
  void testOrdersWithoutBound_commitIsLost() {
    EnumSet<Condition> all = EnumSet.allOf(Condition.class);
    ModelRules rules = new ModelRules(all, new Bounds(2, 1, 4, 1, 0, 0), false);
    StateSearch.Result result = search("without a bound on orders", rules);
    assertThat(result.violation()).isEqualTo(Violation.LOST.name());
  }

  private static void assertNoViolation(Bounds bounds, boolean isComplete) {
    EnumSet<Condition> all = EnumSet.allOf(Condition.class);
    StateSearch.Result result = search("all conditions", new ModelRules(all, bounds, true));
    assertWithMessage("%s", result.trace()).that(result.violation()).isEmpty();
    assertThat(result.isComplete() || !isComplete).isTrue();
  }

  private static void assertViolation(Condition omitted, Bounds bounds, Violation expected) {
    EnumSet<Condition> kept = EnumSet.complementOf(EnumSet.of(omitted));
    StateSearch.Result result = search("without " + omitted, new ModelRules(kept, bounds, true));
    assertThat(result.violation()).isEqualTo(expected.name());
  }

  private static StateSearch.Result search(String title, ModelRules rules) {
    long startNanos = System.nanoTime();
    StateSearch.Result result = new StateSearch(rules, MAXIMUM_STATES).run();
    long millis = (System.nanoTime() - startNanos) / 1_000_000;
    String found = result.violation().isEmpty() ? "no violation" : result.violation();
    System.out.printf(
        "%s, %s: %s, %,d states, depth %d, complete: %s, %d ms%n",
        title, rules.bounds(), found, result.states(), result.depth(), result.isComplete(), millis);
    List<String> trace = result.trace();
    trace.forEach(step -> System.out.println("  " + step));
    return result;
  }
}

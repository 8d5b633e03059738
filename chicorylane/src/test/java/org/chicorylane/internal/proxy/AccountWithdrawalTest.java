package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.chicorylane.internal.account.AccountRules;
import org.chicorylane.internal.entry.ClientSession;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ClientStatement;
import org.chicorylane.internal.passthrough.FailureCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Withdraws keys from a whole simulated fleet under one fault at a time.
 *
 * <p>Guards against statements that run though their key was withdrawn longer ago than the bound,
 * and against refusals of keys that were not withdrawn. {@link AccountClients} checks the bound.
 */
final class AccountWithdrawalTest {

  private static final AccountRules RULES =
      new AccountRules(true, AccountClients.BOUND, true, null);

  private final ModelFleet fleet = new ModelFleet(6, 5);
  private final AccountClients clients = new AccountClients(fleet, new Random(1), 4);

  private void begin() {
    fleet.accountRules = RULES;
    fleet.start();
    clients.begin();
    fleet.advance(3_000);
  }

  private void checkBound() {
    assertThat(clients.violations).isEmpty();
    assertThat(fleet.violations).isEmpty();
  }

  private void assertServed(String key) {
    int before = clients.countSuccesses(key);
    fleet.advance(2_000);
    assertWithMessage("statements with %s that succeeded", key)
        .that(clients.countSuccesses(key) - before)
        .isGreaterThan(20);
  }

  private void assertRefused(String key) {
    int before = clients.countSuccesses(key);
    fleet.advance(3_000);
    assertWithMessage("statements with %s that succeeded", key)
        .that(clients.countSuccesses(key) - before)
        .isEqualTo(0);
  }

  @Test
  void testGrantedKeysAreServedWithoutRefusals() {
    begin();
    fleet.advance(10_000);
    for (String key : List.of("key-0", "key-1", "key-2", "key-3")) {
      assertThat(clients.countFailures(key)).isEqualTo(0);
      assertServed(key);
    }
    checkBound();
  }

  @Test
  void testWithdrawnKeyIsRefusedAndOthersAreServed() {
    begin();
    clients.withdraw("key-0");
    fleet.advance(AccountClients.BOUND.toMillis());
    assertRefused("key-0");
    assertThat(clients.count("key-0", FailureCode.UNKNOWN_KEY)).isGreaterThan(0);
    assertServed("key-1");
    assertThat(clients.countFailures("key-1")).isEqualTo(0);
    checkBound();
  }

  @Test
  void testBoundHoldsForWithdrawalsInQuickSuccession() {
    begin();
    for (String key : List.of("key-0", "key-1", "key-2")) {
      clients.withdraw(key);
      fleet.advance(100);
    }
    fleet.advance(AccountClients.BOUND.toMillis());
    assertRefused("key-0");
    assertRefused("key-1");
    assertRefused("key-2");
    assertServed("key-3");
    checkBound();
  }

  @Test
  void testBoundHoldsWhileHalfOfTheInstancesIsShutOutOfTheStore() {
    begin();
    ModelHost home = fleet.home().orElseThrow();
    home.storeUnreachable = true;
    fleet.hosts().stream().filter(h -> h != home).limit(2).forEach(h -> h.storeUnreachable = true);
    clients.withdraw("key-0");
    fleet.advance(100);
    clients.withdraw("key-1");
    fleet.advance(AccountClients.BOUND.toMillis());
    assertRefused("key-0");
    assertRefused("key-1");
    assertServed("key-2");
    checkBound();
  }

  @Test
  void testHomeShutOutOfTheStoreServesGrantedKeysWithoutRefusals() {
    begin();
    fleet.home().orElseThrow().storeUnreachable = true;
    fleet.advance(15_000);
    assertThat(clients.count("key-0", FailureCode.OVERLOADED)).isEqualTo(0);
    assertServed("key-0");
    checkBound();
  }

  @Test
  void testBoundHoldsAtHomeCutOffFromTheStoreAndAllInstances() {
    begin();
    ModelHost home = fleet.home().orElseThrow();
    home.storeUnreachable = true;
    fleet.hosts().stream().filter(h -> h != home).forEach(h -> home.unreachableHosts.add(h.name));
    clients.withdraw("key-0");
    fleet.advance(12_000);
    assertRefused("key-0");
    home.storeUnreachable = false;
    home.unreachableHosts.clear();
    fleet.advance(4_000);
    assertRefused("key-0");
    assertServed("key-1");
    checkBound();
  }

  @Test
  void testBoundHoldsWhenEntryIsCutOffFromTheStoreAndOtherEntries() {
    begin();
    ModelHost home = fleet.home().orElseThrow();
    ModelHost entry = fleet.hosts().stream().filter(h -> h != home).findFirst().orElseThrow();
    entry.storeUnreachable = true;
    fleet.hosts().stream()
        .filter(h -> h != home && h != entry)
        .forEach(h -> entry.unreachableHosts.add(h.name));
    clients.withdraw("key-0");
    fleet.advance(AccountClients.BOUND.toMillis());
    assertRefused("key-0");
    checkBound();
  }

  @Test
  void testBoundHoldsAtHomeThatWasFrozenDuringTheWithdrawal() {
    begin();
    ModelHost home = fleet.home().orElseThrow();
    home.freeze();
    fleet.advance(100);
    clients.withdraw("key-0");
    fleet.advance(AccountClients.BOUND.toMillis() + 1_000);
    home.thaw();
    fleet.advance(4_000);
    assertRefused("key-0");
    assertServed("key-1");
    checkBound();
  }

  @Test
  void testBoundHoldsWhenAllInstancesRestart() {
    begin();
    clients.withdraw("key-0");
    fleet.hosts().forEach(ModelHost::kill);
    fleet.advance(700);
    fleet.hosts().forEach(ModelHost::start);
    fleet.advance(AccountClients.BOUND.toMillis());
    assertRefused("key-0");
    assertServed("key-1");
    checkBound();
  }

  @Test
  void testBoundHoldsWhenInstancesFollowRelaysThatAreShutOutOfTheStore() {
    fleet.zoneSize = 6;
    begin();
    fleet.hosts().stream().filter(h -> h.openWatches > 2).forEach(h -> h.storeUnreachable = true);
    clients.withdraw("key-0");
    fleet.advance(AccountClients.BOUND.toMillis());
    assertRefused("key-0");
    assertServed("key-1");
    checkBound();
  }

  /** Times of an outage's start after the same preparation, in steps that fall between timers. */
  static IntStream outageOffsetsMillis() {
    return IntStream.range(0, 12).map(i -> i * 87);
  }

  @ParameterizedTest
  @MethodSource("outageOffsetsMillis")
  void testShortStoreOutageCausesNoRefusals(int offsetMillis) {
    begin();
    fleet.advance(offsetMillis);
    final int before = clients.count("key-0", FailureCode.OVERLOADED);
    fleet.storeDown = true;
    fleet.advance(4_500);
    fleet.storeDown = false;
    fleet.advance(3_000);
    assertThat(clients.count("key-0", FailureCode.OVERLOADED) - before).isEqualTo(0);
    assertServed("key-0");
    checkBound();
  }

  @Test
  void testWorkIsRefusedDuringLongStoreOutageAndServedAgainAfterwards() {
    begin();
    fleet.storeDown = true;
    fleet.advance(7_000);
    assertRefused("key-0");
    fleet.storeDown = false;
    fleet.advance(1_000);
    assertServed("key-0");
    checkBound();
  }

  @Test
  void testKeyThatMovedToAnotherAccountNoLongerUsesTheFirst() {
    begin();
    ModelHost entry = fleet.host("i0");
    ClientSession session = entry.openSession(ModelFleet.LATEST, "key-0", () -> {});
    clients.move("key-0", "account-9");
    fleet.advance(1_500);
    assertThat(write(session).failure()).isEqualTo(FailureCode.UNKNOWN_KEY);
    ClientSession next = entry.openSession(ModelFleet.LATEST, "key-0", () -> {});
    assertThat(write(next).succeeded()).isTrue();
  }

  @Test
  void testCommitAfterTheWithdrawalIsRefusedAndRolledBack() {
    begin();
    ModelHost entry = fleet.host("i0");
    ClientSession session = entry.openSession(ModelFleet.LATEST, "key-0", () -> {});
    run(session, new ClientStatement.Begin(false), "mine-begin");
    run(session, new ClientStatement.Write("WRITE item data"), "mine-write");
    clients.withdraw("key-0");
    fleet.advance(1_500);
    Answer answer = run(session, new ClientStatement.Commit(), "mine-commit");
    assertThat(answer.failure()).isEqualTo(FailureCode.UNKNOWN_KEY);
    assertThat(fleet.group.primary().log().stream().map(e -> e.requestId()).toList())
        .containsNoneOf("mine-write", "mine-commit");
  }

  @Test
  void testNewKeyIsServedAtAllInstances() {
    begin();
    clients.move("key-new", "account-0");
    fleet.advance(1_500);
    for (ModelHost host : fleet.hosts()) {
      ClientSession session = host.openSession(ModelFleet.LATEST, "key-new", () -> {});
      assertThat(write(session).succeeded()).isTrue();
    }
  }

  @Test
  void testFleetWithoutAccountsCallsTheStoreAsBefore() {
    assertThat(storeCallsWithoutAccounts(RULES))
        .isEqualTo(storeCallsWithoutAccounts(AccountRules.NONE));
  }

  private static int storeCallsWithoutAccounts(AccountRules rules) {
    ModelFleet plain = new ModelFleet(4, 3);
    plain.accountRules = rules;
    plain.start();
    plain.advance(20_000);
    return plain.hosts().stream().mapToInt(h -> h.storeCalls).sum();
  }

  @Test
  void testOnlyHomesCallTheStoreToConfirm() {
    begin();
    int homes = (int) fleet.hosts().stream().filter(h -> fleet.homesAt(h) > 0).count();
    int before = calls();
    fleet.advance(10_000);
    // A second: one read of the home records and one of the configuration by each home, and half
    // of one by each successor.
    assertThat(calls() - before).isAtMost(10 * (2 * homes) + 5 * fleet.hosts().size() + homes);
  }

  private int calls() {
    return fleet.hosts().stream().mapToInt(h -> h.storeCalls).sum();
  }

  private Answer write(ClientSession session) {
    return run(session, new ClientStatement.Write("WRITE item data"), "one-write");
  }

  private Answer run(ClientSession session, ClientStatement statement, String id) {
    List<Answer> answers = new ArrayList<>();
    session.run(id, statement, answers::add);
    fleet.advance(500);
    return answers.get(0);
  }
}

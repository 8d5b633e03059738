package org.chicorylane.internal.account;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.chicorylane.internal.account.AccountGate.Verdict;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.VirtualScheduler;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/**
 * Guards against work that runs under a key that may have been withdrawn longer ago than allowed.
 */
final class AccountGateTest {

  private static final Duration BOUND = Duration.ofSeconds(5);
  private static final AccountAccess ACCESS = new AccountAccess("a", KeyFingerprint.of("k1"));

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final MetricRegistry metrics = new MetricRegistry();
  private ConfigurationFreshness freshness = freshness(true);
  private @Nullable ClientAccounts accounts = accounts("a");

  private static ClientAccounts accounts(String name) {
    return ClientAccounts.of(
        List.of(new ClientAccount(name, Set.of(KeyFingerprint.of("k1")), 0, 10, 10)));
  }

  private ConfigurationFreshness freshness(boolean confirmationRequired) {
    return new ConfigurationFreshness(
        scheduler::nanoTime, new AccountRules(true, BOUND, confirmationRequired, null));
  }

  private Verdict check(@Nullable AccountAccess access) {
    return new AccountGate(() -> accounts, () -> 1, freshness, DecisionLog.none(), metrics)
        .check(access, "r1");
  }

  @Test
  void testGrantedAccessPassesWhileConfirmed() {
    freshness.confirm(scheduler.nanoTime());
    assertThat(check(ACCESS)).isEqualTo(Verdict.GRANTED);
  }

  @Test
  void testAccessOfAnotherAccountIsWithdrawn() {
    freshness.confirm(scheduler.nanoTime());
    accounts = accounts("b");
    assertThat(check(ACCESS)).isEqualTo(Verdict.WITHDRAWN);
    assertThat(metrics.counter("accounts.refused.withdrawn").getCount()).isEqualTo(1);
  }

  @Test
  void testWorkWithoutAccessIsRefusedWhereAccountsAreDeclared() {
    freshness.confirm(scheduler.nanoTime());
    assertThat(check(null)).isEqualTo(Verdict.WITHDRAWN);
  }

  @Test
  void testOldConfirmationGrantsNothing() {
    freshness.start();
    freshness.confirm(scheduler.nanoTime());
    scheduler.advance(BOUND);
    assertThat(check(ACCESS)).isEqualTo(Verdict.UNCONFIRMED);
  }

  @Test
  void testEarlierConfirmationDoesNotReplaceLaterOne() {
    long early = scheduler.nanoTime();
    scheduler.advance(BOUND);
    freshness.confirm(scheduler.nanoTime());
    freshness.confirm(early);
    assertThat(check(ACCESS)).isEqualTo(Verdict.GRANTED);
  }

  @Test
  void testUnknownAgeGrantsNothing() {
    freshness.start();
    assertThat(check(ACCESS)).isEqualTo(Verdict.STARTING);
    scheduler.advance(Duration.ofSeconds(1));
    assertThat(check(ACCESS)).isEqualTo(Verdict.UNCONFIRMED);
    assertThat(freshness.ageMillis()).isEqualTo(-1);
  }

  @Test
  void testNoConfirmationIsNeededWithoutTheRule() {
    freshness = freshness(false);
    assertThat(check(ACCESS)).isEqualTo(Verdict.GRANTED);
  }

  @Test
  void testEverythingPassesWhereNoAccountsAreDeclared() {
    accounts = null;
    assertThat(check(null)).isEqualTo(Verdict.GRANTED);
  }
}

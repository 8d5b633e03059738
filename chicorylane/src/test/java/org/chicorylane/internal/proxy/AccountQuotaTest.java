package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.chicorylane.internal.account.AccountRules;
import org.chicorylane.internal.account.ClientAccount;
import org.chicorylane.internal.account.ClientAccounts;
import org.chicorylane.internal.account.KeyFingerprint;
import org.chicorylane.internal.entry.ClientSession;
import org.chicorylane.internal.entry.OpenResult;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ClientStatement;
import org.chicorylane.internal.passthrough.FailureCode;
import org.junit.jupiter.api.Test;

/**
 * A fleet of instances with one client account, all of whose statements go to one of six groups.
 */
final class AccountQuotaTest {

  private static final String KEY = "key-of-a";
  private static final int RATE = 60;
  private static final int BURST = 60;
  private static final int WINDOW_MILLIS = 5_000;
  private static final double ALLOWED = (RATE * 5 + BURST) * 1.1 + 20;

  private final ModelFleet fleet = new ModelFleet(6, 5);
  private final List<Long> sent = new ArrayList<>();
  private final List<Answer> refused = new ArrayList<>();
  private int requests;

  private void begin() {
    fleet.accounts =
        ClientAccounts.of(
            List.of(new ClientAccount("a", Set.of(KeyFingerprint.of(KEY)), 0, RATE, BURST)));
    fleet.accountRules =
        new AccountRules(
            true, null, false, new AccountRules.Quota(Duration.ofMillis(WINDOW_MILLIS), 0.1, 20));
    fleet.group.listener = (server, c, id, values, state) -> sent.add(fleet.scheduler.millis());
    fleet.start();
  }

  /** Sends reads at 7.5 times the account's rate, from all instances in turn. */
  private void load(int millis) {
    double due = 0;
    for (int i = 0; i < millis; i++) {
      for (due += 7.5 * RATE / 1e3; due >= 1; due--) {
        read(fleet.hosts().get(requests % fleet.hosts().size()));
      }
      fleet.advance(1);
    }
  }

  private void read(ModelHost host) {
    requests++;
    if (!host.running || host.frozen || host.instance == null) {
      return;
    }
    OpenResult result = host.instance.sessions().open(ModelFleet.LATEST, KEY, () -> {});
    if (!(result instanceof OpenResult.Opened opened)) {
      return;
    }
    ClientSession session = opened.session();
    session.run(
        "r" + requests,
        new ClientStatement.Read("READ item"),
        answer -> {
          if (answer.failedWith(FailureCode.OVERLOADED)) {
            refused.add(answer);
          }
          if (host.instance != null) {
            host.instance.sessions().close(session);
          }
        });
  }

  private int mostInWindow() {
    int most = 0;
    int first = 0;
    for (int last = 0; last < sent.size(); last++) {
      while (sent.get(last) - sent.get(first) > WINDOW_MILLIS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  @Test
  void testAccountIsServedAtItsRateOverTheFleet() {
    begin();
    load(3_000);
    int before = sent.size();
    load(10_000);
    assertThat((double) (sent.size() - before)).isAtLeast(0.97 * RATE * 10);
    assertThat((double) mostInWindow()).isAtMost(ALLOWED);
    assertThat(refused.get(refused.size() - 1).text())
        .matches("account over its limit; retry after [0-9]+ ms");
  }

  @Test
  void testLimitHoldsWhileTheHomeIsKilledAndAllRestart() {
    begin();
    load(6_000);
    ModelHost home = fleet.home().orElseThrow();
    home.kill();
    load(4_000);
    home.start();
    load(4_000);
    fleet.hosts().forEach(ModelHost::kill);
    fleet.advance(300);
    fleet.hosts().forEach(ModelHost::start);
    load(8_000);
    assertThat((double) mostInWindow()).isAtMost(ALLOWED);
    assertThat(sent).isNotEmpty();
  }

  @Test
  void testLimitHoldsWhileTheHomeIsFrozen() {
    begin();
    load(6_000);
    ModelHost home = fleet.home().orElseThrow();
    home.freeze();
    load(4_000);
    home.thaw();
    load(8_000);
    assertThat((double) mostInWindow()).isAtMost(ALLOWED);
    assertThat(sent).isNotEmpty();
  }
}

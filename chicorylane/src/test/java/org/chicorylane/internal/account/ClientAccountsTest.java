package org.chicorylane.internal.account;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a key that gives access to an account that it does not belong to. */
final class ClientAccountsTest {

  private static ClientAccount account(String name, String... keys) {
    Set<KeyFingerprint> fingerprints = new HashSet<>();
    for (String key : keys) {
      fingerprints.add(KeyFingerprint.of(key));
    }
    return new ClientAccount(name, fingerprints, 0, 10, 10);
  }

  @Test
  void testEveryKeyOfAnAccountGivesAccess() {
    ClientAccounts accounts = ClientAccounts.of(List.of(account("a", "k1", "k2")));
    for (String key : List.of("k1", "k2")) {
      ClientAccount found = accounts.findByKey(KeyFingerprint.of(key));
      assertThat(found == null ? null : found.name()).isEqualTo("a");
    }
  }

  @Test
  void testUnknownAndEmptyKeysGiveNoAccess() {
    ClientAccounts accounts = ClientAccounts.of(List.of(account("a", "k1"), account("b")));
    assertThat(accounts.findByKey(KeyFingerprint.of("k3"))).isNull();
    assertThat(accounts.findByKey(KeyFingerprint.of(""))).isNull();
  }

  @Test
  void testKeyOfTwoAccountsGivesAccessToNeither() {
    ClientAccounts accounts = ClientAccounts.of(List.of(account("a", "k1"), account("b", "k1")));
    assertThat(accounts.findByKey(KeyFingerprint.of("k1"))).isNull();
  }

  @Test
  void testAccountsOfOneNameAreLeftOut() {
    ClientAccounts accounts = ClientAccounts.of(List.of(account("a", "k1"), account("a", "k2")));
    assertThat(accounts.findByKey(KeyFingerprint.of("k1"))).isNull();
    assertThat(accounts.findByName("a")).isNull();
  }

  @Test
  void testAccessEndsWhenTheKeyMovesToAnotherAccount() {
    AccountAccess access = new AccountAccess("a", KeyFingerprint.of("k1"));
    assertThat(ClientAccounts.of(List.of(account("a", "k1"))).isGranted(access)).isTrue();
    assertThat(ClientAccounts.of(List.of(account("b", "k1"))).isGranted(access)).isFalse();
    assertThat(ClientAccounts.NONE.isGranted(access)).isFalse();
  }

  @Test
  void testNegativeAndUndefinedAmountsAreRejected() {
    for (double amount : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY}) {
      assertThrows(
          IllegalArgumentException.class, () -> new ClientAccount("a", Set.of(), 0, amount, 1));
      assertThrows(
          IllegalArgumentException.class, () -> new ClientAccount("a", Set.of(), 0, 1, amount));
    }
  }
}

package org.chicorylane.internal.account;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The client accounts of one version of the configuration.
 *
 * <pre>{@code
 * ClientAccounts accounts = ClientAccounts.of(declared);
 * ClientAccount account = accounts.findByKey(KeyFingerprint.of(key));
 * }</pre>
 *
 * <p>Immutable.
 */
public final class ClientAccounts {

  /** Accounts that admit nobody, in force where accounts are required but none can be read. */
  public static final ClientAccounts NONE = of(Set.of());

  private final Map<String, ClientAccount> byName = new HashMap<>();
  private final Map<KeyFingerprint, ClientAccount> byKey = new HashMap<>();

  private ClientAccounts() {}

  /**
   * Returns the given accounts. A key that several accounts declare gives access to none of them,
   * because the statements would be charged to an arbitrary one. Of several accounts with one name,
   * none is kept.
   */
  public static ClientAccounts of(Collection<ClientAccount> declared) {
    ClientAccounts accounts = new ClientAccounts();
    Set<String> ambiguousNames = new HashSet<>();
    for (ClientAccount account : declared) {
      if (accounts.byName.put(account.name(), account) != null) {
        ambiguousNames.add(account.name());
      }
    }
    accounts.byName.keySet().removeAll(ambiguousNames);
    Set<KeyFingerprint> ambiguousKeys = new HashSet<>();
    for (ClientAccount account : declared) {
      for (KeyFingerprint key : account.keys()) {
        if (accounts.byKey.put(key, account) != null) {
          ambiguousKeys.add(key);
        }
      }
    }
    accounts.byKey.keySet().removeAll(ambiguousKeys);
    accounts.byKey.values().removeIf(account -> ambiguousNames.contains(account.name()));
    return accounts;
  }

  /** Returns the account that the key gives access to, or null if it gives access to none. */
  public @Nullable ClientAccount findByKey(KeyFingerprint key) {
    return byKey.get(key);
  }

  /** Returns the account with this name, or null if there is none. */
  public @Nullable ClientAccount findByName(String name) {
    return byName.get(name);
  }

  /** Returns whether some key gives access to the account with this name. */
  public boolean hasKeys(String name) {
    ClientAccount account = byName.get(name);
    return account != null && !account.keys().isEmpty();
  }

  /** Returns whether {@code access} is still granted: its key belongs to its account. */
  public boolean isGranted(AccountAccess access) {
    ClientAccount account = byKey.get(access.key());
    return account != null && account.name().equals(access.account());
  }

  /** Returns all accounts, in no particular order. */
  public Collection<ClientAccount> all() {
    return Set.copyOf(byName.values());
  }
}

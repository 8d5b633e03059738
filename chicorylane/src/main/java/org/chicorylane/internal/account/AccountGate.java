package org.chicorylane.internal.account;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.runtime.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * Decides at a group's home whether work may run under its access: the newest configuration known
 * here grants it, and that knowledge is confirmed within the deployment's bound.
 *
 * <pre>{@code
 * if (gate.check(work.access(), work.requestId()) == AccountGate.Verdict.GRANTED) {
 *   pool.submit(owner, work, handler);
 * }
 * }</pre>
 *
 * <p>A request that a client sent later than the bound after a withdrawal is checked later still,
 * against a configuration that was read after the withdrawal; so it finds the key gone.
 *
 * <p>Confined to the instance's thread.
 */
public final class AccountGate {

  /** Time after the start as a home within which the first confirmation usually arrives. */
  private static final Duration STARTING = Duration.ofMillis(200);

  /** The outcome of a check. */
  public enum Verdict {
    /** The work may run. */
    GRANTED(FailureCode.OVERLOADED, "the work may run"),
    /** The configuration does not grant the access. */
    WITHDRAWN(FailureCode.UNKNOWN_KEY, "the key gives access to no account any more"),
    /** The first confirmation is on its way; the work may be offered again shortly. */
    STARTING(FailureCode.OVERLOADED, "the accounts are being read; retry after 100 ms"),
    /** Keys may have been withdrawn without this instance's knowledge. */
    UNCONFIRMED(
        FailureCode.OVERLOADED,
        "the accounts cannot be confirmed with the key-value store; retry after 500 ms");

    private final FailureCode code;
    private final String text;

    Verdict(FailureCode code, String text) {
      this.code = code;
      this.text = text;
    }

    /** Returns the code that tells a client why its work was refused. */
    public FailureCode code() {
      return code;
    }

    /** Returns the reason in words, for the client. */
    public String text() {
      return text;
    }
  }

  private final Supplier<@Nullable ClientAccounts> accounts;
  private final LongSupplier version;
  private final ConfigurationFreshness freshness;
  private final DecisionLog log;
  private final MetricRegistry metrics;

  /**
   * Creates a gate.
   *
   * @param accounts returns the accounts in force, null if sessions need none
   * @param version returns the version of the configuration that declares them
   */
  public AccountGate(
      Supplier<@Nullable ClientAccounts> accounts,
      LongSupplier version,
      ConfigurationFreshness freshness,
      DecisionLog log,
      MetricRegistry metrics) {
    this.accounts = accounts;
    this.version = version;
    this.freshness = freshness;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Checks an access, and logs and counts a refusal.
   *
   * @param access the access under which the work was sent, null if the sender demanded none
   * @param requestId the id of the client's request, for the log
   */
  public Verdict check(@Nullable AccountAccess access, String requestId) {
    ClientAccounts declared = accounts.get();
    if (declared == null) {
      return Verdict.GRANTED;
    }
    Verdict verdict = verdict(declared, access);
    if (verdict != Verdict.GRANTED) {
      String reason = verdict.name().toLowerCase(Locale.ROOT);
      metrics.counter("accounts.refused." + reason).inc();
      log.event(DecisionLog.Priority.FAILURE, "access-refused")
          .with("request", requestId)
          .with("account", access == null ? null : access.account())
          .with("key", access == null ? null : access.key().hex())
          .with("version", version.getAsLong())
          .with("confirmed_ms", freshness.ageMillis())
          .with("reason", reason)
          .write();
    }
    return verdict;
  }

  private Verdict verdict(ClientAccounts declared, @Nullable AccountAccess access) {
    if (access == null || !declared.isGranted(access)) {
      return Verdict.WITHDRAWN;
    }
    if (freshness.isFresh()) {
      return Verdict.GRANTED;
    }
    return freshness.isStarting(STARTING) ? Verdict.STARTING : Verdict.UNCONFIRMED;
  }
}

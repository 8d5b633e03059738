package org.chicorylane.internal.account;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * How old this instance's knowledge of the configuration is: the time since the sending of the
 * newest read that showed the stored configuration, which is in force here since.
 *
 * <pre>{@code
 * long sent = scheduler.nanoTime();
 * readConfiguration().thenAccept(text -> {
 *   configuration.update(text, "a confirmation");
 *   freshness.confirm(sent);
 * });
 * }</pre>
 *
 * <p>Confined to the instance's thread.
 */
public final class ConfigurationFreshness {

  /** Allowance for clocks that run apart, subtracted from the bound. */
  private static final Duration CLOCK_MARGIN = Duration.ofMillis(50);

  private final LongSupplier nanoTime;
  private final long maximumAgeNanos;

  /** Time of sending of the newest read that was answered; meaningless until confirmed. */
  private long confirmedNanos;

  private boolean confirmed;

  /** Time of the first request for a confirmation after a time without any; see {@link #pause}. */
  private long startedNanos;

  private boolean started;

  /**
   * Creates a freshness that nothing has confirmed yet.
   *
   * @param nanoTime the clock, in nanoseconds
   * @param rules what the deployment demands of client accounts
   */
  public ConfigurationFreshness(LongSupplier nanoTime, AccountRules rules) {
    this.nanoTime = nanoTime;
    Duration bound = boundOf(rules);
    this.maximumAgeNanos =
        bound == null ? Long.MAX_VALUE : Math.max(0, bound.minus(CLOCK_MARGIN).toNanos());
  }

  private static @Nullable Duration boundOf(AccountRules rules) {
    return rules.confirmationRequired() ? rules.withdrawalBound() : null;
  }

  /** Returns whether the deployment bounds the age of what instances know. */
  public boolean isRequired() {
    return maximumAgeNanos < Long.MAX_VALUE;
  }

  /** Returns the largest age in nanoseconds at which keys are accepted. */
  public long maximumAgeNanos() {
    return maximumAgeNanos;
  }

  /** Notes that this instance has the configuration that the store had at {@code atNanos}. */
  public void confirm(long atNanos) {
    confirmedNanos = confirmed ? Math.max(confirmedNanos, atNanos) : atNanos;
    confirmed = true;
  }

  /** Notes that this instance requests confirmations from now on. */
  public void start() {
    if (!started) {
      started = true;
      startedNanos = nanoTime.getAsLong();
    }
  }

  /** Notes that this instance requests no confirmations until the next {@link #start()}. */
  public void pause() {
    started = false;
  }

  /** Returns the age in nanoseconds, empty if nothing was ever confirmed. */
  public OptionalLong ageNanos() {
    return confirmed
        ? OptionalLong.of(nanoTime.getAsLong() - confirmedNanos)
        : OptionalLong.empty();
  }

  /** Returns the age in milliseconds, -1 if nothing was ever confirmed. */
  public long ageMillis() {
    OptionalLong age = ageNanos();
    return age.isPresent() ? Duration.ofNanos(age.getAsLong()).toMillis() : -1;
  }

  /** Returns whether keys may be accepted by what this instance knows. */
  public boolean isFresh() {
    return !isRequired() || (confirmed && nanoTime.getAsLong() - confirmedNanos < maximumAgeNanos);
  }

  /** Returns whether the first confirmation was requested at most {@code duration} ago. */
  public boolean isStarting(Duration duration) {
    return !started || nanoTime.getAsLong() - startedNanos <= duration.toNanos();
  }
}

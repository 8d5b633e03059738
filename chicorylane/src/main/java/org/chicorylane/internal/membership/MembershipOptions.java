package org.chicorylane.internal.membership;

import java.time.Duration;

/**
 * The parameters of the membership protocol, some of them functions of the fleet's size.
 *
 * <p>Immutable and thread-safe.
 *
 * @param minimumPeriod the probe period of a small fleet
 * @param maximumPeriod the probe period of a large fleet
 * @param indirectProbes how many members are asked to probe one that does not answer
 * @param suspicionPeriods the time of suspicion, in probe periods per decimal digit of the fleet's
 *     size
 * @param transmissionFactor how often a member repeats an update, times the logarithm of the size
 * @param maximumUpdateBytes how many bytes of updates ride on one datagram
 * @param forgetAfter how long a dead member is remembered and contacted now and then
 */
public record MembershipOptions(
    Duration minimumPeriod,
    Duration maximumPeriod,
    int indirectProbes,
    double suspicionPeriods,
    double transmissionFactor,
    int maximumUpdateBytes,
    Duration forgetAfter) {

  /** The parameters for production use. */
  public static final MembershipOptions DEFAULT =
      new MembershipOptions(
          Duration.ofMillis(200), Duration.ofMillis(500), 3, 2, 3, 180, Duration.ofMinutes(10));

  private static final double MEMBERS_AT_MINIMUM_PERIOD = 16;
  private static final double PING_TIMEOUT_SHARE = 0.4;

  /** Returns the time between two probes in a fleet of {@code size}. */
  public Duration period(int size) {
    double factor = Math.max(1, size / MEMBERS_AT_MINIMUM_PERIOD);
    Duration scaled = scale(minimumPeriod, factor);
    return scaled.compareTo(maximumPeriod) < 0 ? scaled : maximumPeriod;
  }

  /** Returns the time after which a probe asks others to try. */
  Duration pingTimeout(int size) {
    return scale(period(size), PING_TIMEOUT_SHARE);
  }

  /** Returns the time that a suspect has to contradict. */
  public Duration suspicionTime(int size) {
    double digits = Math.max(1, Math.log10(size + 1.0));
    return scale(period(size), suspicionPeriods * digits);
  }

  /** Returns how often an update is repeated. */
  int transmissions(int size) {
    return (int) Math.ceil(transmissionFactor * Math.log(size + 1.0));
  }

  private static Duration scale(Duration duration, double factor) {
    return Duration.ofMillis((long) ((double) duration.toMillis() * factor));
  }
}

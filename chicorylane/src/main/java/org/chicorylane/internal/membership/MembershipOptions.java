package org.chicorylane.internal.membership;

import java.time.Duration;

/**
 * The parameters of the membership protocol. Some durations and counts grow with the fleet's size.
 *
 * <p>Immutable and thread-safe.
 *
 * @param minimumPeriod the interval between two probes in a small fleet
 * @param maximumPeriod the interval between two probes in a large fleet
 * @param indirectProbes the number of members asked to probe a member that does not answer
 * @param suspicionPeriods the suspicion timeout, in probe periods per decimal digit of the fleet's
 *     size
 * @param transmissionFactor the number of times that a member sends an update, divided by the
 *     natural logarithm of the fleet's size
 * @param maximumUpdateBytes the maximum bytes of updates carried by one datagram
 * @param forgetAfter how long the record of a dead member is kept, during which it is pinged from
 *     time to time
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
  private static final double PING_TIMEOUT_PER_PERIOD = 0.4;

  /** Returns the interval between two probes in a fleet of {@code size} members. */
  public Duration period(int size) {
    double factor = Math.max(1, size / MEMBERS_AT_MINIMUM_PERIOD);
    Duration scaled = scale(minimumPeriod, factor);
    return scaled.compareTo(maximumPeriod) < 0 ? scaled : maximumPeriod;
  }

  /** Returns how long a probe waits for a direct answer before it asks other members to probe. */
  Duration pingTimeout(int size) {
    return scale(period(size), PING_TIMEOUT_PER_PERIOD);
  }

  /** Returns how long a suspect has to refute the suspicion before it is declared dead. */
  public Duration suspicionTimeout(int size) {
    double digits = Math.max(1, Math.log10(size + 1.0));
    return scale(period(size), suspicionPeriods * digits);
  }

  /** Returns how many times a member sends an update. */
  int transmissions(int size) {
    return (int) Math.ceil(transmissionFactor * Math.log(size + 1.0));
  }

  private static Duration scale(Duration duration, double factor) {
    return Duration.ofMillis((long) ((double) duration.toMillis() * factor));
  }
}

package org.chicorylane.internal.failover;

import java.time.Duration;

/**
 * The timings of a {@link HomeStateMachine}.
 *
 * @param heartbeat interval of observations on each control connection
 * @param suspicionTimeout how long a server may leave a question unanswered before it is suspected
 * @param commandTimeout how long seal, promote, follow and ending other sessions may take
 * @param lockRetry mean wait before a refused lock is tried again
 * @param reopenRetry mean wait after the first failed opening of a control connection; doubles
 * @param reopenRetryLimit longest such wait
 * @param evidenceWait how long answers of other instances are waited for once one says that the
 *     server is unreachable
 * @param evidenceRetry mean wait between rounds of evidence
 * @param evidenceValidity how long other instances' evidence counts
 * @param suspicionWithoutPeers how long a primary must be silent if there is no other instance to
 *     ask
 * @param sealWait how long further seals are waited for once a majority is sealed
 * @param storeRetry mean wait before the key-value service is asked again; doubles
 * @param storeRetryLimit longest such wait
 * @param repairRetry wait before a replica is told again whom to follow
 * @param preferenceHold how long another instance must stay preferred before the group moves
 * @param takeoverHold how long a home that was asked to take the group keeps it
 * @param stepAsidePeriod how long a home that stepped aside leaves the group alone
 * @param stepAsideGrace how long a home that steps aside waits for work in flight
 * @param minorityHold how long a home keeps locks that are fewer than a majority while another home
 *     holds the rest; longer than {@link #IDLE_SESSION_TIMEOUT}
 * @param selfPauseThreshold a gap between events from which the instance takes itself to have been
 *     paused
 */
public record FailoverTimings(
    Duration heartbeat,
    Duration suspicionTimeout,
    Duration commandTimeout,
    Duration lockRetry,
    Duration reopenRetry,
    Duration reopenRetryLimit,
    Duration evidenceWait,
    Duration evidenceRetry,
    Duration evidenceValidity,
    Duration suspicionWithoutPeers,
    Duration sealWait,
    Duration storeRetry,
    Duration storeRetryLimit,
    Duration repairRetry,
    Duration preferenceHold,
    Duration takeoverHold,
    Duration stepAsidePeriod,
    Duration stepAsideGrace,
    Duration minorityHold,
    Duration selfPauseThreshold) {

  /** The {@code idle_session_timeout} that control connections are opened with. */
  public static final Duration IDLE_SESSION_TIMEOUT = Duration.ofSeconds(2);

  /** The longest interval between two {@link HomeEvent.Tick}s. */
  public static final Duration TICK_INTERVAL = Duration.ofMillis(20);

  /** The timings in use. */
  public static final FailoverTimings DEFAULTS =
      new FailoverTimings(
          Duration.ofMillis(100),
          Duration.ofMillis(500),
          Duration.ofSeconds(3),
          Duration.ofMillis(150),
          Duration.ofMillis(50),
          Duration.ofSeconds(1),
          Duration.ofMillis(400),
          Duration.ofMillis(300),
          Duration.ofSeconds(3),
          Duration.ofSeconds(2),
          Duration.ofMillis(100),
          Duration.ofMillis(50),
          Duration.ofSeconds(2),
          Duration.ofSeconds(1),
          Duration.ofSeconds(2),
          Duration.ofSeconds(30),
          Duration.ofSeconds(3),
          Duration.ofMillis(500),
          Duration.ofSeconds(4),
          Duration.ofMillis(250));
}

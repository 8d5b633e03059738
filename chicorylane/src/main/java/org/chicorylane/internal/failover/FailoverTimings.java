package org.chicorylane.internal.failover;

import java.time.Duration;

/**
 * The timings of a {@link HomeStateMachine}.
 *
 * @param heartbeat interval between observations on each control connection
 * @param suspicionTimeout how long a server may leave a query unanswered before it is suspected to
 *     have failed
 * @param commandTimeout how long sealing, promoting, following and ending other sessions may take
 * @param lockRetry mean wait before a refused lock is tried again
 * @param reopenRetry mean wait after the first failure to open a control connection; doubles with
 *     each failure
 * @param reopenRetryLimit longest mean wait between attempts to open a control connection
 * @param evidenceWait how long to wait for answers of further instances once one has reported that
 *     the server is unreachable
 * @param evidenceRetry mean wait between rounds of evidence
 * @param evidenceValidity how long the evidence of other instances stays valid
 * @param suspicionWithoutPeers how long a server must leave queries unanswered before it counts as
 *     lost if there is no other instance to ask; also how long fewer than a majority of the voters
 *     must be reachable before evidence about one is collected
 * @param sealWait how long to wait for further seals once a majority is sealed
 * @param storeRetry mean wait before the key-value service is asked again; doubles with each
 *     failure
 * @param storeRetryLimit longest mean wait before the key-value service is asked again
 * @param repairRetry wait before a replica is told again which server to follow
 * @param preferenceHold how long another instance must stay preferred before the group moves
 * @param takeoverHold how long a home that was asked to take the group keeps it
 * @param stepAsidePeriod mean time for which a home that stepped aside does not acquire the group
 * @param stepAsideGrace how long a home that steps aside waits for work in flight
 * @param minorityHold how long a home keeps locks that are fewer than a majority while another home
 *     holds others; longer than {@link #IDLE_SESSION_TIMEOUT}
 * @param selfPauseThreshold the gap between two events above which the instance concludes that its
 *     own process was paused
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

  /** The default timings. */
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

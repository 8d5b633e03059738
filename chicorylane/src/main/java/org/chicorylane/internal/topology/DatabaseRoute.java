package org.chicorylane.internal.topology;

import java.time.Duration;

/**
 * How the statements on one database are served.
 *
 * @param database the name that clients use
 * @param group the database group that serves it
 * @param freshness what its reads must see
 * @param maximumAge the age that its reads accept; zero where {@code freshness} is LATEST
 * @param statementTimeout the limit of a single statement
 * @param targetLatency the time in which an operation should be done
 * @param priority 0 is served first
 */
public record DatabaseRoute(
    String database,
    String group,
    Freshness freshness,
    Duration maximumAge,
    Duration statementTimeout,
    Duration targetLatency,
    int priority) {}

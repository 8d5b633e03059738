package org.chicorylane.internal.topology;

import java.time.Duration;

/**
 * The route of a database: the group that serves it and the limits of its statements.
 *
 * @param database the database name that clients use
 * @param group the database group that serves it
 * @param freshness the consistency level of reads
 * @param maximumAge the maximum staleness of reads; zero if {@code freshness} is LATEST
 * @param statementTimeout the time limit of a single statement
 * @param targetLatency the time within which an operation should complete
 * @param priority the priority under load; 0 is served first
 */
public record DatabaseRoute(
    String database,
    String group,
    Freshness freshness,
    Duration maximumAge,
    Duration statementTimeout,
    Duration targetLatency,
    int priority) {}

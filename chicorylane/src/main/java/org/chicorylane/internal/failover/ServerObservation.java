package org.chicorylane.internal.failover;

import org.jspecify.annotations.Nullable;

/**
 * The log state of a backend server, read in one statement on a control connection.
 *
 * @param inRecovery {@code pg_is_in_recovery()}
 * @param timeline on a primary, the timeline that it writes; on a replica, the timeline that it
 *     last received
 * @param offset on a primary, {@code pg_current_wal_flush_lsn()}; on a replica, {@code
 *     pg_last_wal_receive_lsn()}, never below what it has replayed
 * @param replayedOffset on a replica, {@code pg_last_wal_replay_lsn()}; on a primary, the same as
 *     {@code offset}
 * @param upstream {@code host:port} of the server that a replica is configured to follow; null if
 *     none is configured
 */
public record ServerObservation(
    boolean inRecovery,
    long timeline,
    long offset,
    long replayedOffset,
    @Nullable String upstream) {}

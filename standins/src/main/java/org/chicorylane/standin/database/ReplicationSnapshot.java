package org.chicorylane.standin.database;

import org.jspecify.annotations.Nullable;

/**
 * The replication state of a server at one moment.
 *
 * @param inRecovery whether it is a replica
 * @param timeline its current timeline
 * @param endLsn the position just past its log
 * @param receiveLsn the position up to which it received by streaming, null if it never did
 * @param replayLsn the position up to which it replayed, null if it never recovered
 * @param upstream whom it streams from, null if it doesn't
 * @param setting the {@code primary_conninfo} in force
 */
record ReplicationSnapshot(
    boolean inRecovery,
    int timeline,
    long endLsn,
    @Nullable Long receiveLsn,
    @Nullable Long replayLsn,
    @Nullable ConnectionInfo upstream,
    ConnectionInfo setting) {}

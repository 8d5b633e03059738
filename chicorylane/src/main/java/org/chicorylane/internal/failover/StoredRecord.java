package org.chicorylane.internal.failover;

/**
 * A group's record as the key-value service holds it.
 *
 * @param record the record
 * @param modRevision the revision of its last change, at least 1
 */
public record StoredRecord(GroupRecord record, long modRevision) {}

package org.chicorylane.internal.failover;

/**
 * A group's record with its revision in the key-value service.
 *
 * @param record the record
 * @param modRevision the revision of its last change, at least 1
 */
public record StoredRecord(GroupRecord record, long modRevision) {}

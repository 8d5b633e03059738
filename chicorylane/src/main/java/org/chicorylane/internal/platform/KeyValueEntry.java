package org.chicorylane.internal.platform;

/**
 * A key of the key-value service with its value and revision.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the key
 * @param value the value; empty if the entry reports a deletion
 * @param modRevision the revision of the key's last change, which a compare-and-swap expects
 */
public record KeyValueEntry(String key, String value, long modRevision) {}

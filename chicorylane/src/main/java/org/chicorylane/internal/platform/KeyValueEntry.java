package org.chicorylane.internal.platform;

/**
 * A key of the key-value service with its value.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the key
 * @param value the value; empty in a deletion
 * @param modRevision the revision of the last change, to be expected by a compare-and-swap
 */
public record KeyValueEntry(String key, String value, long modRevision) {}

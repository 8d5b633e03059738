package org.chicorylane.internal.account;

/**
 * The access under which a session runs its statements: an account, and the key that was presented.
 *
 * <p>Immutable.
 *
 * @param account the account's name
 * @param key the fingerprint of the key
 */
public record AccountAccess(String account, KeyFingerprint key) {}

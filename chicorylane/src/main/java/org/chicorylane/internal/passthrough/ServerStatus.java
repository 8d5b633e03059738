package org.chicorylane.internal.passthrough;

import org.chicorylane.internal.position.LogPosition;

/**
 * What a backend server tells of itself.
 *
 * @param primary whether it sees itself as the primary
 * @param term the term it is in
 * @param received the end of its log
 * @param sealedTerm the term for which it stopped receiving, 0 if it receives
 * @param lagMillis how far its applied data is behind
 */
public record ServerStatus(
    boolean primary, long term, LogPosition received, long sealedTerm, long lagMillis) {}

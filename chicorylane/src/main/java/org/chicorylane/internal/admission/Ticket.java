package org.chicorylane.internal.admission;

import java.time.Instant;

/**
 * A request's claim to a slot.
 *
 * @param id unique among the requests of the group
 * @param requestClass the name of the request class
 * @param needsPrimary whether only the primary can run it
 * @param retry whether this is a retry by the system itself, which the retry budget limits
 * @param deadline when the caller stops waiting
 */
public record Ticket(
    String id, String requestClass, boolean needsPrimary, boolean retry, Instant deadline) {}

package org.chicorylane.internal.routing;

import java.time.Duration;
import java.time.Instant;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * What a read asks of the server that serves it.
 *
 * @param sessionId the session; null for a read without one
 * @param floor the position that the session's token asks for; null if none
 * @param maximumAge the oldest data accepted, zero for the primary; null if only the session's
 *     writes bound it
 * @param arrival when the home got the read
 * @param deadline when the caller stops waiting
 */
public record ReadRequest(
    @Nullable String sessionId,
    @Nullable LogPosition floor,
    @Nullable Duration maximumAge,
    Instant arrival,
    Instant deadline) {}

package org.chicorylane.internal.routing;

import java.time.Duration;
import java.time.Instant;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * The consistency requirements and time limits of one read.
 *
 * @param sessionId the session's id; null if the read belongs to no session
 * @param floor the position from the session's token, which the read must see; null if there is
 *     none
 * @param maximumAge the maximum age of the data, zero to require the primary; null if the age is
 *     not limited and only the session's writes must be seen
 * @param arrival when the home received the read
 * @param deadline when the caller stops waiting
 */
public record ReadRequest(
    @Nullable String sessionId,
    @Nullable LogPosition floor,
    @Nullable Duration maximumAge,
    Instant arrival,
    Instant deadline) {}

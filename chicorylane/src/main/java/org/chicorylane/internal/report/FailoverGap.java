package org.chicorylane.internal.report;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * A period in which writes to a database group could not be committed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param group the name of the database group
 * @param start when writes stopped
 * @param end when the first write was committed again; null while the gap is open
 */
public record FailoverGap(String group, Instant start, @Nullable Instant end) {

  /** Checks that the group and the start are not null. */
  public FailoverGap {
    Objects.requireNonNull(group, "group");
    Objects.requireNonNull(start, "start");
  }

  /** Returns how long the gap lasted, or has lasted at {@code now} if it is open. */
  public Duration length(Instant now) {
    return Duration.between(start, end == null ? now : end);
  }

  /** Returns whether both gaps belong to the same group and share at least one instant. */
  boolean overlaps(FailoverGap other) {
    return group.equals(other.group)
        && (end == null || !other.start.isAfter(end))
        && (other.end == null || !start.isAfter(other.end));
  }

  /** Returns the gap from the earlier start to the later end. */
  FailoverGap union(FailoverGap other) {
    Instant first = start.isBefore(other.start) ? start : other.start;
    if (end == null || other.end == null) {
      return new FailoverGap(group, first, null);
    }
    return new FailoverGap(group, first, end.isAfter(other.end) ? end : other.end);
  }
}

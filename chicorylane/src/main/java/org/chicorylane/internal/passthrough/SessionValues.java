package org.chicorylane.internal.passthrough;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The values that a session has set, by name, in the order in which the names were set first.
 *
 * <pre>{@code
 * SessionValues values = SessionValues.EMPTY.with("time_zone", "Europe/Prague");
 * }</pre>
 *
 * <p>Immutable, so that a statement keeps the values with which it was submitted, however long it
 * waits and whatever the session sets meanwhile.
 */
public final class SessionValues {

  /** No values. */
  public static final SessionValues EMPTY = new SessionValues(Map.of());

  private final Map<String, String> byName;

  private SessionValues(Map<String, String> byName) {
    this.byName = byName;
  }

  /** Returns a copy of {@code byName}. */
  public static SessionValues copyOf(Map<String, String> byName) {
    return byName.isEmpty() ? EMPTY : wrap(new LinkedHashMap<>(byName));
  }

  /**
   * Returns the values whose names and values stand at the same index of two lists; what one list
   * holds beyond the end of the other is left out.
   */
  public static SessionValues ofPairs(List<String> names, List<String> values) {
    int count = Math.min(names.size(), values.size());
    if (count == 0) {
      return EMPTY;
    }
    Map<String, String> byName = new LinkedHashMap<>();
    for (int i = 0; i < count; i++) {
      byName.put(names.get(i), values.get(i));
    }
    return wrap(byName);
  }

  private static SessionValues wrap(Map<String, String> owned) {
    return new SessionValues(Collections.unmodifiableMap(owned));
  }

  /** Returns these values with one of them set. */
  public SessionValues with(String name, String value) {
    Map<String, String> changed = new LinkedHashMap<>(byName);
    changed.put(name, value);
    return wrap(changed);
  }

  /** Returns an unmodifiable view of the values by name. */
  public Map<String, String> asMap() {
    return byName;
  }

  /** Returns the number of values. */
  public int size() {
    return byName.size();
  }

  /** Returns whether a value of this name is set. */
  public boolean contains(String name) {
    return byName.containsKey(name);
  }

  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof SessionValues v && byName.equals(v.byName);
  }

  @Override
  public int hashCode() {
    return byName.hashCode();
  }

  @Override
  public String toString() {
    return byName.toString();
  }
}

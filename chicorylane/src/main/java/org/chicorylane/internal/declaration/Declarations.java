package org.chicorylane.internal.declaration;

import java.util.Map;

/**
 * Everything declared at one revision.
 *
 * <p>Immutable and thread-safe; instances swap the whole.
 *
 * @param revision strictly increasing; 0 when nothing was ever declared
 * @param groups the database groups by name
 * @param readClasses the read classes by name
 * @param requestClasses the request classes by name
 * @param objectives the objectives by name
 */
public record Declarations(
    long revision,
    Map<String, DatabaseGroup> groups,
    Map<String, ReadClass> readClasses,
    Map<String, RequestClass> requestClasses,
    Map<String, Objective> objectives) {

  /** Nothing declared. */
  public static final Declarations EMPTY =
      new Declarations(0, Map.of(), Map.of(), Map.of(), Map.of());

  /** Copies the maps. */
  public Declarations {
    groups = Map.copyOf(groups);
    readClasses = Map.copyOf(readClasses);
    requestClasses = Map.copyOf(requestClasses);
    objectives = Map.copyOf(objectives);
  }
}

package org.chicorylane.internal.declaration;

import java.util.Map;

/**
 * A snapshot of all declared resources at one revision.
 *
 * <p>Immutable and thread-safe. An instance replaces the whole snapshot when it changes.
 *
 * @param revision strictly increasing; 0 if no resource was ever declared
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

  /** The declarations before any resource is declared. */
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

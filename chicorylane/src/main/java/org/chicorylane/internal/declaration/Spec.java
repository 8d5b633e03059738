package org.chicorylane.internal.declaration;

/** What a resource asks for; one implementation for each {@link ResourceKind}. Immutable. */
public sealed interface Spec permits DatabaseGroup, ReadClass, RequestClass, Objective {

  /** Returns the name of the resource, unique within its kind. */
  String name();
}

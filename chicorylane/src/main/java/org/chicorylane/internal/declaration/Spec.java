package org.chicorylane.internal.declaration;

/** The declared content of a resource; one type for each {@link ResourceKind}. Immutable. */
public sealed interface Spec permits DatabaseGroup, ReadClass, RequestClass, Objective {

  /** Returns the name of the resource, unique within its kind. */
  String name();
}

package org.chicorylane.internal.declaration;

/**
 * A declared resource that was read from a valid document.
 *
 * <pre>{@code
 * if (resource.spec() instanceof DatabaseGroup group) {
 *   open(group);
 * }
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the kind of resource
 * @param metadata the name and version that identify it
 * @param spec the declared content, of the type that belongs to {@code kind}
 */
public record Resource(ResourceKind kind, Metadata metadata, Spec spec) {

  /** Returns the name. */
  public String name() {
    return metadata.name();
  }

  /** Returns the unique key, kind and name, such as {@code ReadClass/lookup}. */
  public String key() {
    return kind.kindName() + "/" + name();
  }
}

package org.chicorylane.internal.declaration;

/**
 * A declared resource whose document was read without a finding.
 *
 * <pre>{@code
 * if (resource.spec() instanceof DatabaseGroup group) {
 *   open(group);
 * }
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the kind
 * @param metadata what identifies it
 * @param spec what it asks for, of the class that belongs to {@code kind}
 */
public record Resource(ResourceKind kind, Metadata metadata, Spec spec) {

  /** Returns the name. */
  public String name() {
    return metadata.name();
  }

  /** Returns kind and name, such as {@code ReadClass/lookup}, which no other resource has. */
  public String key() {
    return kind.kindName() + "/" + name();
  }
}

package org.chicorylane.internal.dissemination;

import java.util.List;

/**
 * All resource documents as they were at one revision of the store.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the revision of the store at the last change of a document; 0 if there was no
 *     change
 * @param documents the documents as JSON, in the order of their keys
 */
public record DeclarationSnapshot(long revision, List<String> documents) {

  /** The snapshot before any change, which has no documents. */
  public static final DeclarationSnapshot EMPTY = new DeclarationSnapshot(0, List.of());

  /** Makes a defensive copy of the documents. */
  public DeclarationSnapshot {
    documents = List.copyOf(documents);
  }
}

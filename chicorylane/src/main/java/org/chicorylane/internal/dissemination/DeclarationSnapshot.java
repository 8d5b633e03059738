package org.chicorylane.internal.dissemination;

import java.util.List;

/**
 * All resource documents as they were at one revision.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the store's revision of the last change of a document; 0 if there was none
 * @param documents the documents as JSON, by key
 */
public record DeclarationSnapshot(long revision, List<String> documents) {

  /** No documents, before any change. */
  public static final DeclarationSnapshot EMPTY = new DeclarationSnapshot(0, List.of());

  /** Copies the documents. */
  public DeclarationSnapshot {
    documents = List.copyOf(documents);
  }
}

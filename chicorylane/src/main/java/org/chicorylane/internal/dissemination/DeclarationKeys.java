package org.chicorylane.internal.dissemination;

import org.chicorylane.internal.platform.StoreTransaction;

/**
 * The keys of the declarations in the key-value store. Every change of a document also puts {@link
 * #REVISION_KEY} in the same transaction. The revision of this key therefore identifies the state
 * of all documents, including deletions, and a watch of this key alone reports every change.
 *
 * <pre>{@code
 * StoreTransaction.Builder change = StoreTransaction.builder();
 * change.expect(key, seen).put(key, document);
 * DeclarationKeys.markChanged(change, changeId);
 * }</pre>
 *
 * <p>Stateless and thread-safe.
 */
public final class DeclarationKeys {

  /** The prefix of the keys of all documents. */
  public static final String DOCUMENT_PREFIX = "/chicorylane/declarations/";

  /** The key that every change of a document puts and that is never deleted. */
  public static final String REVISION_KEY = "/chicorylane/revision";

  private DeclarationKeys() {}

  /** Returns the key of the document of the given kind and name. */
  public static String document(String kind, String name) {
    return DOCUMENT_PREFIX + kind + "/" + name;
  }

  /** Adds a put of {@link #REVISION_KEY}. {@code changeId} should be unique to the change. */
  public static StoreTransaction.Builder markChanged(
      StoreTransaction.Builder change, String changeId) {
    return change.put(REVISION_KEY, changeId);
  }
}

package org.chicorylane.internal.dissemination;

import org.chicorylane.internal.platform.StoreTransaction;

/**
 * Where the declarations lie in the key-value service. Every change of a document also puts {@link
 * #REVISION_KEY} in the same transaction, so that key's revision names the whole, deletions
 * included, and watching it alone shows every change.
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

  /** What the keys of all documents begin with. */
  public static final String DOCUMENT_PREFIX = "/chicorylane/declarations/";

  /** The key that every change of a document puts; never deleted. */
  public static final String REVISION_KEY = "/chicorylane/revision";

  private DeclarationKeys() {}

  /** Returns the key of the document of that kind and name. */
  public static String document(String kind, String name) {
    return DOCUMENT_PREFIX + kind + "/" + name;
  }

  /** Adds the put of {@link #REVISION_KEY}; {@code changeId} should be unique to the change. */
  public static StoreTransaction.Builder markChanged(
      StoreTransaction.Builder change, String changeId) {
    return change.put(REVISION_KEY, changeId);
  }
}

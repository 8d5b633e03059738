package org.chicorylane.internal.operator;

/**
 * The outcome of a change for one document.
 *
 * @param key kind and name of the document
 * @param action what was done to the document
 * @param fromVersion its version before the change; 0 if it did not exist
 */
record ResourceOutcome(String key, Action action, long fromVersion) {

  /** What a change does to a document. */
  enum Action {
    CREATED,
    REPLACED,
    DELETED,
    UNCHANGED
  }

  /** Returns whether the document is written or deleted. */
  boolean isChange() {
    return action != Action.UNCHANGED;
  }
}

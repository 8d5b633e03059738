package org.chicorylane.internal.operator;

/**
 * What became of one document of a change.
 *
 * @param key kind and name
 * @param action what was done
 * @param fromVersion the version before; 0 if there was none
 */
record ResourceOutcome(String key, Action action, long fromVersion) {

  /** What is done to a document. */
  enum Action {
    CREATED,
    REPLACED,
    DELETED,
    UNCHANGED
  }

  /** Returns whether the document is written or deleted. */
  boolean changes() {
    return action != Action.UNCHANGED;
  }
}

package org.chicorylane.internal.operator;

import java.util.List;

/**
 * A set of changes that is applied atomically. Immutable.
 *
 * @param changes the changes, at most one for each document
 * @param changedBy the name of the operator
 * @param dryRun whether to check the changes and report their outcome without applying them
 */
record ChangeSet(List<DocumentChange> changes, String changedBy, boolean dryRun) {

  ChangeSet {
    changes = List.copyOf(changes);
  }
}

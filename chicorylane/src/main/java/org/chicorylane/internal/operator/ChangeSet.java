package org.chicorylane.internal.operator;

import java.util.List;

/**
 * Changes that take effect together or not at all. Immutable.
 *
 * @param changes the changes
 * @param changedBy who asks
 * @param dryRun whether to find out only what would become of them
 */
record ChangeSet(List<DocumentChange> changes, String changedBy, boolean dryRun) {

  ChangeSet {
    changes = List.copyOf(changes);
  }
}

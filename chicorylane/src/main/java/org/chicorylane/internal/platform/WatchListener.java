package org.chicorylane.internal.platform;

import java.util.List;

/**
 * Receives the changes that a watch reports. Calls are made one at a time and in revision order,
 * with each change reported once. Implementations must not block.
 */
public interface WatchListener {

  /**
   * Called with the changes of one or more revisions.
   *
   * @param changes the changed entries, in order
   * @param revision the revision of the last change
   */
  void onChanges(List<Change> changes, long revision);

  /**
   * Called when the store has compacted revisions that the watch has yet to report, so it cannot
   * continue without a gap. The watch has ended; read the range again and open a new watch.
   */
  void onHistoryLost();

  /**
   * A change of a key.
   *
   * @param entry the key with its value after the change
   * @param deleted whether the key was deleted; the value is empty then
   */
  record Change(KeyValueEntry entry, boolean deleted) {}
}

package org.chicorylane.internal.platform;

import java.util.List;

/**
 * Receives what a watch sees. Calls come one at a time, in revision order, each change once; they
 * must not block.
 */
public interface WatchListener {

  /**
   * Takes the changes of one or more revisions.
   *
   * @param changes the changed entries, in order
   * @param revision the store's revision after them
   */
  void onChanges(List<Change> changes, long revision);

  /**
   * Tells that the watch cannot go on without a gap, since the store dropped the history it needs.
   * The watch has ended; read the range again and open a new one.
   */
  void onHistoryLost();

  /**
   * A change of a key.
   *
   * @param entry the key with its new value
   * @param deleted whether the key was deleted; the value is empty then
   */
  record Change(KeyValueEntry entry, boolean deleted) {}
}

package org.chicorylane.standin.metadata;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** The keys, revisions and history of the stand-in store. Thread-safe. */
public final class MetadataEngine {

  /** A key at a revision; {@code value} is base64 text, null once the key was removed. */
  public record Item(String key, @Nullable String value, long revision, long created) {}

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private long revision = 1;
  private long compactedUpTo = 1;

  /** Returns the present revision. */
  public synchronized long revision() {
    return revision;
  }

  /** Returns a key's item, null if there is none. */
  public synchronized @Nullable Item get(String key) {
    return items.get(key);
  }

  /** Returns the items under a prefix, by key. */
  public synchronized List<Item> range(String prefix) {
    return items.tailMap(prefix).values().stream()
        .takeWhile(i -> i.key().startsWith(prefix))
        .toList();
  }

  /**
   * Runs a conditional change.
   *
   * @param expected revisions by key; 0 expects the key to be absent
   * @param writes base64 values by key
   * @return the new revision, or 0 if a condition failed
   */
  public synchronized long transact(
      Map<String, Long> expected, Map<String, String> writes, List<String> removals) {
    for (Map.Entry<String, Long> e : expected.entrySet()) {
      Item present = items.get(e.getKey());
      if ((present == null ? 0 : present.revision()) != e.getValue()) {
        return 0;
      }
    }
    revision++;
    writes.forEach(
        (key, value) -> {
          Item before = items.get(key);
          Item item = new Item(key, value, revision, before == null ? revision : before.created());
          items.put(key, item);
          history.add(item);
        });
    for (String key : removals) {
      if (items.remove(key) != null) {
        history.add(new Item(key, null, revision, 0));
      }
    }
    notifyAll();
    return revision;
  }

  /** Forgets the history up to now. */
  public synchronized void compact() {
    history.clear();
    compactedUpTo = revision;
    notifyAll();
  }

  /** Returns the changes after a revision, null if they are no longer known. */
  public synchronized @Nullable List<Item> changes(String prefix, long after, long waitMillis)
      throws InterruptedException {
    long end = System.nanoTime() + waitMillis * 1_000_000;
    while (true) {
      if (after < compactedUpTo) {
        return null;
      }
      List<Item> found =
          history.stream().filter(i -> i.revision() > after && i.key().startsWith(prefix)).toList();
      long left = (end - System.nanoTime()) / 1_000_000;
      if (!found.isEmpty() || left <= 0) {
        return found;
      }
      wait(left);
    }
  }

  /** Returns the present items of some keys. */
  public synchronized Map<String, Item> present(Iterable<String> keys) {
    Map<String, Item> found = new HashMap<>();
    for (String key : keys) {
      Item item = items.get(key);
      if (item != null) {
        found.put(key, item);
      }
    }
    return found;
  }
}

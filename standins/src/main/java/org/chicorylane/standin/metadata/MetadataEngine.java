package org.chicorylane.standin.metadata;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * An in-memory key-value store with revisions, conditional changes and a change history that can be
 * compacted. It has no transport; {@link StandInMetadataStore} serves it over HTTP.
 *
 * <p>Thread-safe.
 */
public final class MetadataEngine {

  /**
   * A key and its value as one change left them.
   *
   * @param key the key
   * @param value the value as base64 text; null if the change removed the key
   * @param revision the revision of the change
   * @param created the revision that created the key; 0 if the change removed the key
   */
  public record Item(String key, @Nullable String value, long revision, long created) {}

  /** The content of the store at one moment. */
  public static final class Copy {
    private final TreeMap<String, Item> items;
    private final List<Item> history;
    private final long revision;
    private final long compactedRevision;

    private Copy(MetadataEngine engine) {
      items = new TreeMap<>(engine.items);
      history = List.copyOf(engine.history);
      revision = engine.revision;
      compactedRevision = engine.compactedRevision;
    }
  }

  /** Prefixes of the keys whose writers write them again after a restore. */
  private static final List<String> REWRITTEN_PREFIXES = List.of("op/", "servers/");

  /** The present items by key. */
  private final TreeMap<String, Item> items = new TreeMap<>();

  /** The changes since the last compaction, oldest first. */
  private final List<Item> history = new ArrayList<>();

  private long revision = 1;
  private long compactedRevision = 1;
  private long era = 1;

  /** Returns the current revision. */
  public synchronized long revision() {
    return revision;
  }

  /** Returns the era, which rises with each restore from a copy. */
  public synchronized long era() {
    return era;
  }

  /** Returns a copy of the content, for {@link #restore}. */
  public synchronized Copy copy() {
    return new Copy(this);
  }

  /**
   * Replaces the content by an earlier copy and raises the era. Later changes are lost and their
   * revisions are assigned again, first to what the operator and the servers had written, which
   * they write again. Waiting calls of {@link #changes} end.
   */
  public synchronized void restore(Copy copy) {
    Map<String, String> rewritten = new LinkedHashMap<>();
    for (Item item : items.values()) {
      if (REWRITTEN_PREFIXES.stream().anyMatch(item.key()::startsWith)
          && !item.equals(copy.items.get(item.key()))) {
        rewritten.put(item.key(), item.value());
      }
    }
    final List<String> removed =
        copy.items.keySet().stream()
            .filter(key -> REWRITTEN_PREFIXES.stream().anyMatch(key::startsWith))
            .filter(key -> !items.containsKey(key))
            .toList();
    items.clear();
    items.putAll(copy.items);
    history.clear();
    history.addAll(copy.history);
    revision = copy.revision;
    compactedRevision = copy.compactedRevision;
    era++;
    rewritten.forEach((key, value) -> transact(Map.of(), Map.of(key, value), List.of()));
    removed.forEach(key -> transact(Map.of(), Map.of(), List.of(key)));
    notifyAll();
  }

  /** Returns the item of {@code key}, or null if the key does not exist. */
  public synchronized @Nullable Item get(String key) {
    return items.get(key);
  }

  /** Returns the items whose keys begin with {@code prefix}, in key order. */
  public synchronized List<Item> range(String prefix) {
    return items.tailMap(prefix).values().stream()
        .takeWhile(i -> i.key().startsWith(prefix))
        .toList();
  }

  /**
   * Applies a change if all its conditions hold. A change whose conditions hold increments the
   * revision, even if it writes and removes nothing.
   *
   * @param expected the required revision of each key; 0 requires that the key does not exist
   * @param writes the values to write, as base64 text by key
   * @param removals the keys to remove; keys that do not exist are ignored
   * @return the new revision, or 0 if a condition failed; nothing was changed then
   */
  public synchronized long transact(
      Map<String, Long> expected, Map<String, String> writes, List<String> removals) {
    for (Map.Entry<String, Long> e : expected.entrySet()) {
      Item current = items.get(e.getKey());
      if ((current == null ? 0 : current.revision()) != e.getValue()) {
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

  /** Drops the history up to the current revision. */
  public synchronized void compact() {
    history.clear();
    compactedRevision = revision;
    notifyAll();
  }

  /**
   * Returns the changes after a revision, and waits for one if there is none yet (long polling).
   *
   * @param prefix the prefix of the keys whose changes are returned
   * @param after the revision after which changes are returned
   * @param waitMillis the longest wait, in milliseconds
   * @return the changes, oldest first; empty if there was none in time; null if the history was
   *     compacted beyond {@code after}, or does not reach it since the store was restored
   */
  public synchronized @Nullable List<Item> changes(String prefix, long after, long waitMillis)
      throws InterruptedException {
    return changes(prefix, after, waitMillis, era);
  }

  /**
   * Returns the changes as {@link #changes(String, long, long)} does, for a call that began in an
   * era: null if the store was restored since.
   *
   * @param startEra the era in which the call began
   */
  public synchronized @Nullable List<Item> changes(
      String prefix, long after, long waitMillis, long startEra) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
    while (true) {
      if (era != startEra) {
        return null;
      }
      if (after < compactedRevision || after > revision) {
        return null;
      }
      List<Item> found =
          history.stream().filter(i -> i.revision() > after && i.key().startsWith(prefix)).toList();
      long leftMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
      if (!found.isEmpty() || leftMillis <= 0) {
        return found;
      }
      wait(leftMillis);
    }
  }

  /** Returns the items of those of {@code keys} that exist, by key. */
  public synchronized Map<String, Item> existingItems(Iterable<String> keys) {
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

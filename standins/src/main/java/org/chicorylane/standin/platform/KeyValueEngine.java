package org.chicorylane.standin.platform;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * An in-memory multi-version key-value store with the semantics of etcd v3 for revisions, history,
 * compaction, transactions, leases and watches. It has no transport; {@link StandInPlatform} serves
 * it over HTTP.
 *
 * <pre>{@code
 * KeyValueEngine engine = new KeyValueEngine(InstantSource.system());
 * engine.transact(List.of(), List.of(new KeyValueEngine.Put("a", "1", 0)), List.of());
 * engine.range(KeyRange.single("a"), 0);
 * }</pre>
 *
 * <p>Thread-safe. Watch listeners are called in revision order with the engine's lock held, so they
 * must not block.
 */
public final class KeyValueEngine {

  /** The largest accepted value, in bytes; each character of a value stands for one byte. */
  public static final int MAX_VALUE_BYTES = 1 << 20;

  private static final long FIRST_REVISION = 1;

  /**
   * A key and its value as one change left them.
   *
   * @param key the key
   * @param value the value; empty if this is a deletion
   * @param createRevision the revision that created the key; 0 if this is a deletion
   * @param modRevision the revision of this change
   * @param version the number of changes since the creation, the creation included; 0 if this is a
   *     deletion
   * @param lease the id of the lease that the key is attached to; 0 for none
   */
  public record Entry(
      String key, String value, long createRevision, long modRevision, long version, long lease) {

    /** Returns whether this entry records the deletion of the key. */
    public boolean isDeletion() {
      return version == 0;
    }
  }

  /** An operation of a transaction. */
  public sealed interface Operation {}

  /** Reads a range as of {@code revision}; 0 means the current revision. */
  public record Range(KeyRange keys, long revision) implements Operation {}

  /** Writes a key and attaches it to {@code lease}, unless that is 0. */
  public record Put(String key, String value, long lease) implements Operation {}

  /** Deletes a range. */
  public record Delete(KeyRange keys) implements Operation {}

  /**
   * The result of one operation.
   *
   * @param operation the operation
   * @param entries the entries that a range read or a delete removed; empty for a put
   */
  public record OperationResult(Operation operation, List<Entry> entries) {}

  /** The attribute of a key that a comparison tests. */
  public enum Target {
    /** The number of changes since the creation. */
    VERSION,
    /** The revision of the creation. */
    CREATE,
    /** The revision of the last change. */
    MOD,
    /** The value. */
    VALUE
  }

  /** The relation between an attribute and the operand that a comparison requires. */
  public enum Relation {
    /** The attribute equals the operand. */
    EQUAL {
      @Override
      boolean holds(int comparison) {
        return comparison == 0;
      }
    },
    /** The attribute is greater than the operand. */
    GREATER {
      @Override
      boolean holds(int comparison) {
        return comparison > 0;
      }
    },
    /** The attribute is less than the operand. */
    LESS {
      @Override
      boolean holds(int comparison) {
        return comparison < 0;
      }
    },
    /** The attribute differs from the operand. */
    NOT_EQUAL {
      @Override
      boolean holds(int comparison) {
        return comparison != 0;
      }
    };

    /** Returns whether the relation holds for a {@link Comparable#compareTo} result. */
    abstract boolean holds(int comparison);
  }

  /**
   * A comparison that guards a transaction.
   *
   * @param key the key
   * @param target the attribute to test
   * @param relation the relation that must hold
   * @param number the operand, if the target is not the value
   * @param value the operand, if the target is the value
   */
  public record Compare(String key, Target target, Relation relation, long number, String value) {}

  /**
   * The result of a transaction.
   *
   * @param succeeded whether all comparisons held
   * @param revision the store's revision after the transaction
   * @param results one result for each operation that was run, in order
   */
  public record TransactionResult(
      boolean succeeded, long revision, List<OperationResult> results) {}

  /** Receives the changes that a watch reports. */
  public interface Listener {
    /** Receives the changes of one revision; there is at least one. */
    void onEvents(long revision, List<Entry> events);
  }

  /** A handle to a running watch. */
  public interface Watch {
    /** Stops the watch; the listener receives no later changes. */
    void cancel();
  }

  /** Thrown when the store rejects a request. */
  public static final class RefusedException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception with the error text for the client, without etcd's prefix. */
    public RefusedException(String message) {
      super(message);
    }
  }

  /** The content of a store at one moment. */
  public static final class Copy {
    private final TreeMap<String, List<Entry>> histories = new TreeMap<>();
    private final List<Entry> changeLog;
    private final TreeMap<Long, Lease> leases;
    private final long revision;
    private final long compactedRevision;

    private Copy(KeyValueEngine engine) {
      engine.histories.forEach((key, history) -> histories.put(key, List.copyOf(history)));
      changeLog = List.copyOf(engine.changeLog);
      leases = new TreeMap<>(engine.leases);
      revision = engine.revision;
      compactedRevision = engine.compactedRevision;
    }
  }

  private record Watcher(KeyRange keys, Listener listener) {}

  private record Lease(Duration ttl, Instant expiry) {}

  private final InstantSource clock;

  /** All changes of each key, oldest first; compaction does not remove them. */
  private final TreeMap<String, List<Entry>> histories = new TreeMap<>();

  /** The changes that a new watch can replay, oldest first; compaction removes old ones. */
  private final List<Entry> changeLog = new ArrayList<>();

  private final List<Watcher> watchers = new ArrayList<>();
  private final TreeMap<Long, Lease> leases = new TreeMap<>();
  private long revision = FIRST_REVISION;
  private long compactedRevision;
  private long nextLeaseId = 1;

  /** Creates an empty store whose leases expire by {@code clock}. */
  public KeyValueEngine(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns the revision of the last change. */
  public synchronized long revision() {
    return revision;
  }

  /** Returns the revision of the last compaction, which is still readable; 0 if there was none. */
  public synchronized long compactedRevision() {
    return compactedRevision;
  }

  /** Returns a copy of the content, for {@link #restore}. */
  public synchronized Copy copy() {
    return new Copy(this);
  }

  /**
   * Replaces the content by an earlier copy. Later changes are lost and their revisions are
   * assigned again. All watches end without a notice.
   */
  public synchronized void restore(Copy copy) {
    watchers.clear();
    histories.clear();
    copy.histories.forEach((key, history) -> histories.put(key, new ArrayList<>(history)));
    changeLog.clear();
    changeLog.addAll(copy.changeLog);
    leases.clear();
    leases.putAll(copy.leases);
    revision = copy.revision;
    compactedRevision = copy.compactedRevision;
  }

  /**
   * Compacts the history: revisions before {@code upTo}, or before the current revision if that is
   * lower, can no longer be read or watched.
   */
  public synchronized void compact(long upTo) {
    compactedRevision = Math.max(compactedRevision, Math.min(upTo, revision));
    changeLog.removeIf(e -> e.modRevision() < compactedRevision);
  }

  /**
   * Returns the entries in {@code keys} as of {@code atRevision}; 0 means the current revision.
   *
   * @throws RefusedException if that revision has been compacted or is in the future
   */
  public synchronized List<Entry> range(KeyRange keys, long atRevision) throws RefusedException {
    expireLeases();
    return read(keys, atRevision);
  }

  /**
   * Runs {@code success} if all comparisons hold, otherwise {@code failure}. All changes get the
   * same revision.
   *
   * @throws RefusedException if a put has an empty key, a key is put twice, a value is too large, a
   *     lease does not exist, or a read asks for a revision that has been compacted or is in the
   *     future; the transaction changes nothing in that case
   */
  public synchronized TransactionResult transact(
      List<Compare> compares, List<Operation> success, List<Operation> failure)
      throws RefusedException {
    expireLeases();
    boolean succeeded = compares.stream().allMatch(this::holds);
    List<Operation> operations = succeeded ? success : failure;
    check(operations);
    List<OperationResult> results = run(operations);
    return new TransactionResult(succeeded, revision, results);
  }

  /**
   * Starts a watch, which reports the changes of {@code keys} from {@code startRevision} on; 0
   * reports only changes after this call. Past changes are reported before this method returns.
   *
   * @throws RefusedException if {@code startRevision} has been compacted
   */
  public synchronized Watch watch(KeyRange keys, long startRevision, Listener listener)
      throws RefusedException {
    expireLeases();
    if (startRevision > 0 && startRevision < compactedRevision) {
      throw new RefusedException("required revision has been compacted");
    }
    if (startRevision > 0) {
      replay(keys, startRevision, listener);
    }
    Watcher watcher = new Watcher(keys, listener);
    watchers.add(watcher);
    return () -> remove(watcher);
  }

  /**
   * Grants a lease.
   *
   * @param id the requested id; 0 makes the store choose one
   * @param ttl the time to live
   * @return the id of the lease
   * @throws RefusedException if a lease with this id exists
   */
  public synchronized long grant(long id, Duration ttl) throws RefusedException {
    expireLeases();
    long chosen = id == 0 ? nextLeaseId++ : id;
    if (leases.containsKey(chosen)) {
      throw new RefusedException("lease already exists");
    }
    leases.put(chosen, new Lease(ttl, clock.instant().plus(ttl)));
    return chosen;
  }

  /**
   * Revokes a lease and deletes the keys attached to it.
   *
   * @throws RefusedException if the lease does not exist
   */
  public synchronized void revoke(long id) throws RefusedException {
    expireLeases();
    if (leases.remove(id) == null) {
      throw new RefusedException("requested lease not found");
    }
    deleteKeysOf(id);
  }

  /** Renews a lease; returns its time to live, or empty if the lease does not exist. */
  public synchronized Optional<Duration> keepAlive(long id) {
    expireLeases();
    Lease lease = leases.get(id);
    if (lease == null) {
      return Optional.empty();
    }
    leases.put(id, new Lease(lease.ttl(), clock.instant().plus(lease.ttl())));
    return Optional.of(lease.ttl());
  }

  /** Removes expired leases and deletes the keys attached to them. */
  public synchronized void expireLeases() {
    Instant now = clock.instant();
    List<Long> expired = new ArrayList<>();
    leases.forEach(
        (id, lease) -> {
          if (!lease.expiry().isAfter(now)) {
            expired.add(id);
          }
        });
    expired.forEach(leases::remove);
    expired.forEach(this::deleteKeysOf);
  }

  private synchronized void remove(Watcher watcher) {
    watchers.remove(watcher);
  }

  private void deleteKeysOf(long lease) {
    List<Entry> events = new ArrayList<>();
    for (List<Entry> history : histories.values()) {
      Entry last = history.get(history.size() - 1);
      if (!last.isDeletion() && last.lease() == lease) {
        events.add(deletionOf(last.key()));
      }
    }
    commit(events);
  }

  /** Returns the entries as of {@code atRevision}; 0 means the current revision. */
  private List<Entry> read(KeyRange keys, long atRevision) throws RefusedException {
    if (atRevision > revision) {
      throw new RefusedException("required revision is a future revision");
    }
    if (atRevision > 0 && atRevision < compactedRevision) {
      throw new RefusedException("required revision has been compacted");
    }
    List<Entry> found = new ArrayList<>();
    histories.forEach(
        (key, history) -> {
          if (keys.contains(key)) {
            latest(history, atRevision == 0 ? revision : atRevision).ifPresent(found::add);
          }
        });
    return found;
  }

  /** Returns the entry as of {@code atRevision}, or empty if the key did not exist then. */
  private static Optional<Entry> latest(List<Entry> history, long atRevision) {
    for (int i = history.size() - 1; i >= 0; i--) {
      Entry e = history.get(i);
      if (e.modRevision() <= atRevision) {
        return e.isDeletion() ? Optional.empty() : Optional.of(e);
      }
    }
    return Optional.empty();
  }

  private Optional<Entry> current(String key) {
    return latest(histories.getOrDefault(key, List.of()), revision);
  }

  private boolean holds(Compare compare) {
    Optional<Entry> entry = current(compare.key());
    int comparison =
        switch (compare.target()) {
          case VERSION -> compareNumber(entry.map(Entry::version), compare);
          case CREATE -> compareNumber(entry.map(Entry::createRevision), compare);
          case MOD -> compareNumber(entry.map(Entry::modRevision), compare);
          case VALUE -> entry.map(Entry::value).orElse("").compareTo(compare.value());
        };
    boolean comparable = entry.isPresent() || compare.target() != Target.VALUE;
    return comparable && compare.relation().holds(comparison);
  }

  private static int compareNumber(Optional<Long> attribute, Compare compare) {
    return Long.compare(attribute.orElse(0L), compare.number());
  }

  /** Validates all operations before any of them runs, so that a rejection changes nothing. */
  private void check(List<Operation> operations) throws RefusedException {
    Set<String> written = new HashSet<>();
    for (Operation operation : operations) {
      if (operation instanceof Put put) {
        checkPut(put, written);
      } else if (operation instanceof Range range) {
        read(range.keys(), range.revision());
      }
    }
  }

  private void checkPut(Put put, Set<String> written) throws RefusedException {
    if (put.key().isEmpty()) {
      throw new RefusedException("key is not provided");
    }
    if (put.value().length() > MAX_VALUE_BYTES) {
      throw new RefusedException("request is too large");
    }
    if (!written.add(put.key())) {
      throw new RefusedException("duplicate key given in txn request");
    }
    if (put.lease() != 0 && !leases.containsKey(put.lease())) {
      throw new RefusedException("requested lease not found");
    }
  }

  private List<OperationResult> run(List<Operation> operations) throws RefusedException {
    List<Entry> events = new ArrayList<>();
    List<OperationResult> results = new ArrayList<>();
    for (Operation operation : operations) {
      List<Entry> entries = List.of();
      if (operation instanceof Put put) {
        events.add(changeOf(put));
      } else if (operation instanceof Delete delete) {
        entries = read(delete.keys(), 0);
        entries.forEach(e -> events.add(deletionOf(e.key())));
      } else if (operation instanceof Range range) {
        entries = read(range.keys(), range.revision());
      }
      results.add(new OperationResult(operation, entries));
    }
    commit(events);
    return results;
  }

  private Entry changeOf(Put put) {
    long nextRevision = revision + 1;
    Optional<Entry> old = current(put.key());
    return new Entry(
        put.key(),
        put.value(),
        old.map(Entry::createRevision).orElse(nextRevision),
        nextRevision,
        old.map(Entry::version).orElse(0L) + 1,
        put.lease());
  }

  private Entry deletionOf(String key) {
    return new Entry(key, "", 0, revision + 1, 0, 0);
  }

  /** Applies the changes at one new revision and notifies the watches that they concern. */
  private void commit(List<Entry> events) {
    if (events.isEmpty()) {
      return;
    }
    revision++;
    for (Entry event : events) {
      histories.computeIfAbsent(event.key(), k -> new ArrayList<>()).add(event);
      changeLog.add(event);
    }
    for (Watcher watcher : List.copyOf(watchers)) {
      List<Entry> matching = events.stream().filter(e -> watcher.keys().contains(e.key())).toList();
      if (!matching.isEmpty()) {
        watcher.listener().onEvents(revision, matching);
      }
    }
  }

  /** Reports the changes from {@code startRevision} on that are in the change log. */
  private void replay(KeyRange keys, long startRevision, Listener listener) {
    TreeMap<Long, List<Entry>> byRevision = new TreeMap<>();
    for (Entry e : changeLog) {
      if (e.modRevision() >= startRevision && keys.contains(e.key())) {
        byRevision.computeIfAbsent(e.modRevision(), r -> new ArrayList<>()).add(e);
      }
    }
    byRevision.forEach(listener::onEvents);
  }
}

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
 * The state of the key-value service: revisions, history, leases and watches with the semantics of
 * etcd v3, without any transport.
 *
 * <pre>{@code
 * KeyValueEngine engine = new KeyValueEngine(InstantSource.system());
 * engine.transact(List.of(), List.of(new KeyValueEngine.Put("a", "1", 0)), List.of());
 * engine.range(KeyRange.single("a"), 0);
 * }</pre>
 *
 * <p>Thread-safe. Watch listeners run inside the engine's lock, in revision order; they must not
 * block.
 */
public final class KeyValueEngine {

  /** The largest value that is taken, in characters, each of which stands for a byte. */
  public static final int MAX_VALUE_BYTES = 1 << 20;

  private static final long FIRST_REVISION = 1;

  /**
   * A key and its value.
   *
   * @param key the key
   * @param value the value; empty in a deletion
   * @param createRevision the revision that created the key; 0 in a deletion
   * @param modRevision the revision of the last change
   * @param version the number of changes since the creation; 0 in a deletion
   * @param lease the lease that the key is bound to; 0 for none
   */
  public record Entry(
      String key, String value, long createRevision, long modRevision, long version, long lease) {

    /** Returns whether this stands for the deletion of the key. */
    public boolean isDeletion() {
      return version == 0;
    }
  }

  /** An operation of a transaction. */
  public sealed interface Operation {}

  /** Reads a range at {@code revision}; 0 for the current one. */
  public record Range(KeyRange keys, long revision) implements Operation {}

  /** Writes a key, bound to {@code lease} unless that is 0. */
  public record Put(String key, String value, long lease) implements Operation {}

  /** Deletes a range. */
  public record Delete(KeyRange keys) implements Operation {}

  /**
   * The result of one operation.
   *
   * @param operation what was asked
   * @param entries the entries read; for a deletion those deleted
   */
  public record OperationResult(Operation operation, List<Entry> entries) {}

  /** The attribute of a key that a comparison looks at. */
  public enum Target {
    /** The number of changes. */
    VERSION,
    /** The revision of the creation. */
    CREATE,
    /** The revision of the last change. */
    MOD,
    /** The value. */
    VALUE
  }

  /** How a comparison compares. */
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

    abstract boolean holds(int comparison);
  }

  /**
   * A comparison that guards a transaction.
   *
   * @param key the key
   * @param target the attribute
   * @param relation how to compare
   * @param number the operand, unless the target is the value
   * @param value the operand if the target is the value
   */
  public record Compare(String key, Target target, Relation relation, long number, String value) {}

  /**
   * The result of a transaction.
   *
   * @param succeeded whether every comparison held
   * @param revision the store's revision afterwards
   * @param results a result per operation that was run
   */
  public record TransactionResult(
      boolean succeeded, long revision, List<OperationResult> results) {}

  /** Receives the changes of a watch. */
  public interface Listener {
    /** Takes the changes of one revision, of which there is at least one. */
    void onEvents(long revision, List<Entry> events);
  }

  /** A watch that is running. */
  public interface Watch {
    /** Ends the watch. */
    void cancel();
  }

  /** Thrown when a request breaks a rule of the store. */
  public static final class RefusedException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates the exception with the store's message. */
    public RefusedException(String message) {
      super(message);
    }
  }

  private record Watcher(KeyRange keys, Listener listener) {}

  private record Lease(Duration ttl, Instant expiry) {}

  private final InstantSource clock;
  private final TreeMap<String, List<Entry>> histories = new TreeMap<>();
  private final List<Entry> log = new ArrayList<>();
  private final List<Watcher> watchers = new ArrayList<>();
  private final TreeMap<Long, Lease> leases = new TreeMap<>();
  private long revision = FIRST_REVISION;
  private long compactedRevision;
  private long nextLease = 1;

  /** Creates an empty store that takes the time of leases from {@code clock}. */
  public KeyValueEngine(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns the revision of the last change. */
  public synchronized long revision() {
    return revision;
  }

  /** Returns the revision up to which history was dropped; 0 if none was. */
  public synchronized long compactedRevision() {
    return compactedRevision;
  }

  /** Drops the history before {@code upTo}. */
  public synchronized void compact(long upTo) {
    compactedRevision = Math.max(compactedRevision, Math.min(upTo, revision));
    log.removeIf(e -> e.modRevision() < compactedRevision);
  }

  /**
   * Returns the entries in {@code keys} as they were at {@code atRevision}; 0 for now.
   *
   * @throws RefusedException if that revision is compacted or yet to come
   */
  public synchronized List<Entry> range(KeyRange keys, long atRevision) throws RefusedException {
    expireLeases();
    return read(keys, atRevision);
  }

  /**
   * Runs {@code success} if every comparison holds, else {@code failure}, at one revision.
   *
   * @throws RefusedException if a value is too large, a key is written twice, a lease is unknown or
   *     a read asks for a revision that is not kept; nothing was changed then
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
   * Begins to report the changes of {@code keys} from {@code startRevision} on; 0 for from now.
   *
   * @throws RefusedException if {@code startRevision} is compacted
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
   * @param id the wished id; 0 to have one chosen
   * @param ttl the time to live
   * @return the id
   * @throws RefusedException if the id is taken
   */
  public synchronized long grant(long id, Duration ttl) throws RefusedException {
    expireLeases();
    long chosen = id == 0 ? nextLease++ : id;
    if (leases.containsKey(chosen)) {
      throw new RefusedException("lease already exists");
    }
    leases.put(chosen, new Lease(ttl, clock.instant().plus(ttl)));
    return chosen;
  }

  /**
   * Ends a lease and deletes its keys.
   *
   * @throws RefusedException if there is no such lease
   */
  public synchronized void revoke(long id) throws RefusedException {
    expireLeases();
    if (leases.remove(id) == null) {
      throw new RefusedException("requested lease not found");
    }
    deleteKeysOf(id);
  }

  /** Renews a lease; returns its time to live, or empty if there is no such lease. */
  public synchronized Optional<Duration> keepAlive(long id) {
    expireLeases();
    Lease lease = leases.get(id);
    if (lease == null) {
      return Optional.empty();
    }
    leases.put(id, new Lease(lease.ttl(), clock.instant().plus(lease.ttl())));
    return Optional.of(lease.ttl());
  }

  /** Deletes the keys of the leases whose time has passed. */
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
    long next = revision + 1;
    Optional<Entry> old = current(put.key());
    return new Entry(
        put.key(),
        put.value(),
        old.map(Entry::createRevision).orElse(next),
        next,
        old.map(Entry::version).orElse(0L) + 1,
        put.lease());
  }

  private Entry deletionOf(String key) {
    return new Entry(key, "", 0, revision + 1, 0, 0);
  }

  private void commit(List<Entry> events) {
    if (events.isEmpty()) {
      return;
    }
    revision++;
    for (Entry event : events) {
      histories.computeIfAbsent(event.key(), k -> new ArrayList<>()).add(event);
      log.add(event);
    }
    for (Watcher watcher : List.copyOf(watchers)) {
      List<Entry> seen = events.stream().filter(e -> watcher.keys().contains(e.key())).toList();
      if (!seen.isEmpty()) {
        watcher.listener().onEvents(revision, seen);
      }
    }
  }

  private void replay(KeyRange keys, long startRevision, Listener listener) {
    TreeMap<Long, List<Entry>> byRevision = new TreeMap<>();
    for (Entry e : log) {
      if (e.modRevision() >= startRevision && keys.contains(e.key())) {
        byRevision.computeIfAbsent(e.modRevision(), r -> new ArrayList<>()).add(e);
      }
    }
    byRevision.forEach(listener::onEvents);
  }
}

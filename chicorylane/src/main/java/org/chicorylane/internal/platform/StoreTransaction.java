package org.chicorylane.internal.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * Writes to several keys that take effect together if every condition holds, at one revision.
 *
 * <pre>{@code
 * StoreTransaction change =
 *     StoreTransaction.builder()
 *         .expect("/chicorylane/declarations/DatabaseGroup/plans", 41)
 *         .put("/chicorylane/declarations/DatabaseGroup/plans", document)
 *         .put("/chicorylane/revision", changeId)
 *         .build();
 * }</pre>
 *
 * <p>Immutable and thread-safe.
 *
 * @param conditions what must hold
 * @param operations what is written; a key at most once
 */
public record StoreTransaction(List<Condition> conditions, List<Operation> operations) {

  /**
   * Holds if the key was last changed at {@code expectedModRevision}; 0 means that it is absent.
   */
  public record Condition(String key, long expectedModRevision) {}

  /** A write of the transaction. */
  public sealed interface Operation {}

  /** Sets a key's value. */
  public record Put(String key, String value) implements Operation {}

  /** Deletes a key; no effect if it is absent. */
  public record Delete(String key) implements Operation {}

  /** Copies the lists. */
  public StoreTransaction {
    conditions = List.copyOf(conditions);
    operations = List.copyOf(operations);
  }

  /** Collects a transaction. Not thread-safe. */
  public static final class Builder {

    private final List<Condition> conditions = new ArrayList<>();
    private final List<Operation> operations = new ArrayList<>();

    private Builder() {}

    /** Adds the condition that {@code key} was last changed then; 0 means that it is absent. */
    public Builder expect(String key, long expectedModRevision) {
      conditions.add(new Condition(key, expectedModRevision));
      return this;
    }

    /** Adds a write of {@code key}. */
    public Builder put(String key, String value) {
      operations.add(new Put(key, value));
      return this;
    }

    /** Adds a deletion of {@code key}. */
    public Builder delete(String key) {
      operations.add(new Delete(key));
      return this;
    }

    /** Returns the transaction. */
    public StoreTransaction build() {
      return new StoreTransaction(conditions, operations);
    }
  }

  /** Returns a builder without conditions or operations. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the expected revision of {@code key}; 0 if no condition speaks of it. */
  long expectedRevisionOf(String key) {
    return conditions.stream()
        .filter(c -> c.key().equals(key))
        .mapToLong(Condition::expectedModRevision)
        .findFirst()
        .orElse(0);
  }
}

package org.chicorylane.internal.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * A conditional transaction: writes to several keys that take effect atomically, at one revision,
 * if every condition holds.
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
 * @param conditions the conditions that must all hold
 * @param operations the writes, at most one for each key
 */
public record StoreTransaction(List<Condition> conditions, List<Operation> operations) {

  /**
   * A condition that holds if the key was last changed at {@code expectedModRevision}; 0 means that
   * the key is absent.
   */
  public record Condition(String key, long expectedModRevision) {}

  /** A write in a transaction. */
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

  /** Builds a transaction. Not thread-safe. */
  public static final class Builder {

    private final List<Condition> conditions = new ArrayList<>();
    private final List<Operation> operations = new ArrayList<>();

    private Builder() {}

    /**
     * Adds the condition that {@code key} was last changed at {@code expectedModRevision}; 0 means
     * that the key is absent.
     */
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

    /** Returns the transaction built so far. */
    public StoreTransaction build() {
      return new StoreTransaction(conditions, operations);
    }
  }

  /** Returns a builder without conditions or operations. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the expected revision of {@code key}; 0 if no condition is about it. */
  long expectedRevisionOf(String key) {
    return conditions.stream()
        .filter(c -> c.key().equals(key))
        .mapToLong(Condition::expectedModRevision)
        .findFirst()
        .orElse(0);
  }
}

package org.chicorylane.internal.statement;

import java.math.BigDecimal;

/**
 * One SQL value, as a bound parameter or in a result row.
 *
 * <p>Immutable and thread-safe. The SQL null is represented by {@link Null}, never by a Java null.
 */
public sealed interface SqlValue {

  /** The SQL null value. */
  record Null() implements SqlValue {}

  /** A boolean. */
  record Bool(boolean value) implements SqlValue {}

  /** An integer of up to 64 bits. */
  record Int(long value) implements SqlValue {}

  /** A double-precision floating point number. */
  record Real(double value) implements SqlValue {}

  /** An exact decimal number. */
  record Decimal(BigDecimal value) implements SqlValue {}

  /** Text, or a value of any type not covered by the other records, in PostgreSQL's text format. */
  record Text(String value) implements SqlValue {}

  /** The shared instance of {@link Null}. */
  SqlValue NULL = new Null();
}

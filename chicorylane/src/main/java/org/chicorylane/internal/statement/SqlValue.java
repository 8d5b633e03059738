package org.chicorylane.internal.statement;

import java.math.BigDecimal;

/**
 * One SQL value, as a bound parameter or in a result row.
 *
 * <p>Immutable and thread-safe. SQL's null is {@link Null}, never a Java null.
 */
public sealed interface SqlValue {

  /** The SQL null. */
  record Null() implements SqlValue {}

  /** A boolean. */
  record Bool(boolean value) implements SqlValue {}

  /** An integer of up to 64 bits. */
  record Int(long value) implements SqlValue {}

  /** A double-precision floating point number. */
  record Real(double value) implements SqlValue {}

  /** An exact decimal number. */
  record Decimal(BigDecimal value) implements SqlValue {}

  /** Text; also any type without a kind of its own here, in PostgreSQL's text form. */
  record Text(String value) implements SqlValue {}

  /** The SQL null. */
  SqlValue NULL = new Null();
}

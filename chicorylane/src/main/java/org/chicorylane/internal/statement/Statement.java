package org.chicorylane.internal.statement;

import java.util.List;

/**
 * One SQL statement with its bound parameters.
 *
 * <p>Immutable and thread-safe.
 *
 * @param sql the SQL text, in which {@code $1}, {@code $2}, … stand for the parameters; not blank
 * @param parameters the parameter values in order
 */
public record Statement(String sql, List<SqlValue> parameters) {

  /**
   * Makes a defensive copy of the parameters.
   *
   * @throws IllegalArgumentException if {@code sql} is blank
   */
  public Statement {
    if (sql.isBlank()) {
      throw new IllegalArgumentException("the SQL text of a statement is blank");
    }
    parameters = List.copyOf(parameters);
  }
}

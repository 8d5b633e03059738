package org.chicorylane.internal.statement;

import java.util.List;

/**
 * One SQL statement with its bound parameters.
 *
 * <p>Immutable and thread-safe.
 *
 * @param sql the text, with {@code $1}, {@code $2}, … for parameters; not empty
 * @param parameters the values of the parameters in order
 */
public record Statement(String sql, List<SqlValue> parameters) {

  /**
   * Copies the parameters.
   *
   * @throws IllegalArgumentException if {@code sql} is blank
   */
  public Statement {
    if (sql.isBlank()) {
      throw new IllegalArgumentException("a statement without text");
    }
    parameters = List.copyOf(parameters);
  }
}

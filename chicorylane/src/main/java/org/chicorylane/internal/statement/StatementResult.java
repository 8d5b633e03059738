package org.chicorylane.internal.statement;

import java.util.List;

/**
 * The complete result of one statement.
 *
 * <p>Immutable and thread-safe.
 *
 * @param columns the column names; empty if the statement returns no rows
 * @param rows the rows, each with one value per column
 * @param affectedRows the number of rows that the statement changed or returned
 */
public record StatementResult(List<String> columns, List<List<SqlValue>> rows, long affectedRows) {

  /** Makes defensive copies of the lists. */
  public StatementResult {
    columns = List.copyOf(columns);
    rows = List.copyOf(rows);
  }
}

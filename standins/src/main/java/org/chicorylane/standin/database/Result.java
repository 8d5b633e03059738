package org.chicorylane.standin.database;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** What a statement answers: its rows, if it has columns, and the tag of its completion. */
record Result(String tag, List<Column> columns, List<@Nullable Object[]> rows) {

  static Result of(String tag) {
    return new Result(tag, List.of(), List.of());
  }

  static Result row(String tag, List<Column> columns, Object... values) {
    return new Result(tag, columns, List.<@Nullable Object[]>of(values));
  }
}

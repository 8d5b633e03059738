package org.chicorylane.standin.database;

import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.sql.Types;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Binds parameters' values to a statement of the embedded engine. */
final class Parameters {

  private Parameters() {}

  static void bind(PreparedStatement statement, List<@Nullable Object> values) throws SQLException {
    for (int i = 0; i < values.size(); i++) {
      Object value = values.get(i);
      if (value == null) {
        statement.setNull(i + 1, Types.NULL);
      } else {
        statement.setObject(i + 1, value);
      }
    }
  }
}

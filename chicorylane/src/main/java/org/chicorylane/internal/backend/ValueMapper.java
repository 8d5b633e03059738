package org.chicorylane.internal.backend;

import io.vertx.core.buffer.Buffer;
import io.vertx.sqlclient.Row;
import io.vertx.sqlclient.Tuple;
import io.vertx.sqlclient.data.Numeric;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.chicorylane.internal.statement.SqlValue;
import org.jspecify.annotations.Nullable;

/** Converts SQL values to the types of the PostgreSQL client and back. */
final class ValueMapper {
  private ValueMapper() {}

  static Tuple toTuple(List<SqlValue> parameters) {
    List<@Nullable Object> values = new ArrayList<>(parameters.size());
    for (SqlValue p : parameters) {
      values.add(toClient(p));
    }
    return Tuple.from(values);
  }

  static List<SqlValue> toValues(Row row) {
    List<SqlValue> values = new ArrayList<>(row.size());
    for (int i = 0; i < row.size(); i++) {
      values.add(fromClient(row.getValue(i)));
    }
    return values;
  }

  private static @Nullable Object toClient(SqlValue value) {
    if (value instanceof SqlValue.Bool v) {
      return v.value();
    }
    if (value instanceof SqlValue.Int v) {
      return v.value();
    }
    if (value instanceof SqlValue.Real v) {
      return v.value();
    }
    if (value instanceof SqlValue.Decimal v) {
      return Numeric.create(v.value());
    }
    if (value instanceof SqlValue.Text v) {
      return v.value();
    }
    return null;
  }

  private static SqlValue fromClient(@Nullable Object value) {
    if (value == null) {
      return SqlValue.NULL;
    }
    if (value instanceof Boolean v) {
      return new SqlValue.Bool(v);
    }
    if (value instanceof Float || value instanceof Double) {
      return new SqlValue.Real(((Number) value).doubleValue());
    }
    if (value instanceof Numeric v) {
      return v.isNaN() ? new SqlValue.Text("NaN") : new SqlValue.Decimal(v.bigDecimalValue());
    }
    if (value instanceof BigDecimal v) {
      return new SqlValue.Decimal(v);
    }
    if (value instanceof Number v) {
      return new SqlValue.Int(v.longValue());
    }
    if (value instanceof Buffer v) {
      return new SqlValue.Text(Base64.getEncoder().encodeToString(v.getBytes()));
    }
    return new SqlValue.Text(value.toString());
  }
}

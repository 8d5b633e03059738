package org.chicorylane.standin.database;

import java.sql.Connection;
import java.sql.ParameterMetaData;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.ResultSetMetaData;
import java.sql.SQLException;
import java.sql.Types;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Finds the types of parameters and columns as PostgreSQL would. */
final class TypeInference {

  private static final Pattern CAST =
      Pattern.compile("(?i)\\$(\\d+)\\s*::\\s*(\\w+)|cast\\s*\\(\\s*\\$(\\d+)\\s+as\\s+(\\w+)");
  private static final Pattern LIMIT = Pattern.compile("(?i)\\b(?:LIMIT|OFFSET)\\s+\\$(\\d+)");
  private static final Pattern ARITHMETIC =
      Pattern.compile("(?i)\\b([a-z_]\\w*)\\s*[-+*/]\\s*\\$(\\d+)");
  private static final Pattern FUNCTION_ARGUMENT =
      Pattern.compile("(?i)\\b(pg_\\w+)\\s*\\(\\s*\\$(\\d+)");
  private static final Pattern LSN_ITEM =
      Pattern.compile(
          "(?i)(pg_catalog\\.)?(pg_current_wal_lsn\\(\\)|pg_last_wal_receive_lsn\\(\\)"
              + "|pg_last_wal_replay_lsn\\(\\)|flushed_lsn|checkpoint_lsn)(\\s+as\\s+\\w+)?");
  private static final Pattern FUNCTION_ITEM = Pattern.compile("(?:\\w+\\.)?(\\w+)\\s*\\(.*");
  private static final Pattern CAST_SUFFIX = Pattern.compile("(?i)(\\w+)\\s*::\\s*[\\w ]+");
  private static final Pattern IDENTIFIER = Pattern.compile("\\w+");
  private static final Map<String, PgType> TYPE_NAMES =
      Map.ofEntries(
          Map.entry("int2", PgType.INT2),
          Map.entry("smallint", PgType.INT2),
          Map.entry("int", PgType.INT4),
          Map.entry("int4", PgType.INT4),
          Map.entry("integer", PgType.INT4),
          Map.entry("int8", PgType.INT8),
          Map.entry("bigint", PgType.INT8),
          Map.entry("float4", PgType.FLOAT4),
          Map.entry("real", PgType.FLOAT4),
          Map.entry("float8", PgType.FLOAT8),
          Map.entry("double", PgType.FLOAT8),
          Map.entry("numeric", PgType.NUMERIC),
          Map.entry("decimal", PgType.NUMERIC),
          Map.entry("bool", PgType.BOOL),
          Map.entry("boolean", PgType.BOOL),
          Map.entry("bytea", PgType.BYTEA),
          Map.entry("uuid", PgType.UUID),
          Map.entry("date", PgType.DATE),
          Map.entry("timestamp", PgType.TIMESTAMP),
          Map.entry("timestamptz", PgType.TIMESTAMPTZ),
          Map.entry("varchar", PgType.VARCHAR),
          Map.entry("text", PgType.TEXT));

  private static final Map<String, PgType> ARGUMENT_TYPES =
      Map.of(
          "pg_try_advisory_lock", PgType.INT8,
          "pg_advisory_unlock", PgType.INT8,
          "pg_terminate_backend", PgType.INT4,
          "pg_promote", PgType.BOOL,
          "pg_sleep", PgType.FLOAT8);

  private TypeInference() {}

  static List<PgType> parameterTypes(
      StatementText text,
      List<Integer> declared,
      PreparedStatement statement,
      Connection connection)
      throws SQLException {
    ParameterMetaData metadata = statement.getParameterMetaData();
    List<PgType> types = new ArrayList<>();
    for (int i = 0; i < metadata.getParameterCount(); i++) {
      if (i < declared.size() && declared.get(i) != 0) {
        types.add(PgType.ofOid(declared.get(i)));
      } else {
        types.add(ofName(metadata.getParameterTypeName(i + 1), metadata.getParameterType(i + 1)));
      }
    }
    if (!types.isEmpty()) {
      refine(text.sql(), declared, types, connection);
    }
    return types;
  }

  private static void refine(
      String sql, List<Integer> declared, List<PgType> types, Connection connection)
      throws SQLException {
    Matcher casts = CAST.matcher(sql);
    while (casts.find()) {
      boolean suffix = casts.group(1) != null;
      String name = suffix ? casts.group(2) : casts.group(4);
      PgType type = TYPE_NAMES.get(name.toLowerCase(Locale.ROOT));
      put(types, declared, suffix ? casts.group(1) : casts.group(3), type);
    }
    Matcher limits = LIMIT.matcher(sql);
    while (limits.find()) {
      put(types, declared, limits.group(1), PgType.INT8);
    }
    Matcher arguments = FUNCTION_ARGUMENT.matcher(sql);
    while (arguments.find()) {
      PgType type = ARGUMENT_TYPES.get(arguments.group(1).toLowerCase(Locale.ROOT));
      put(types, declared, arguments.group(2), type);
    }
    Matcher sums = ARITHMETIC.matcher(sql);
    while (sums.find()) {
      put(types, declared, sums.group(2), columnType(sums.group(1), connection));
    }
  }

  private static void put(
      List<PgType> types, List<Integer> declared, String number, @Nullable PgType type) {
    int i = Integer.parseInt(number) - 1;
    boolean open = i < types.size() && (i >= declared.size() || declared.get(i) == 0);
    if (open && type != null) {
      types.set(i, type);
    }
  }

  private static @Nullable PgType columnType(String column, Connection connection)
      throws SQLException {
    try (ResultSet rows = connection.getMetaData().getColumns(null, "public", null, column)) {
      return rows.next() ? ofName(rows.getString("TYPE_NAME"), rows.getInt("DATA_TYPE")) : null;
    }
  }

  static List<Column> columns(StatementText text, @Nullable ResultSetMetaData metadata)
      throws SQLException {
    if (metadata == null) {
      return List.of();
    }
    List<String> items = text.selectItems();
    int count = metadata.getColumnCount();
    List<Column> columns = new ArrayList<>(count);
    for (int i = 1; i <= count; i++) {
      String item = items.size() == count ? items.get(i - 1) : "";
      PgType type =
          LSN_ITEM.matcher(item).matches()
              ? PgType.PG_LSN
              : ofName(metadata.getColumnTypeName(i), metadata.getColumnType(i));
      columns.add(new Column(columnName(metadata.getColumnLabel(i), item), type));
    }
    return columns;
  }

  private static String columnName(String label, String item) {
    if (IDENTIFIER.matcher(label).matches()) {
      return label;
    }
    Matcher function = FUNCTION_ITEM.matcher(item);
    if (function.matches()) {
      return function.group(1).toLowerCase(Locale.ROOT);
    }
    Matcher cast = CAST_SUFFIX.matcher(item);
    if (cast.matches()) {
      return cast.group(1).toLowerCase(Locale.ROOT);
    }
    return item.regionMatches(true, 0, "CASE", 0, "CASE".length()) ? "case" : "?column?";
  }

  private static PgType ofName(String name, int jdbcType) {
    return switch (name) {
      case "UUID" -> PgType.UUID;
      case "DECFLOAT" -> PgType.NUMERIC;
      default -> ofJdbc(jdbcType);
    };
  }

  /** Returns the type that stands for a type of JDBC. */
  private static PgType ofJdbc(int type) {
    return switch (type) {
      case Types.BOOLEAN -> PgType.BOOL;
      case Types.TINYINT, Types.SMALLINT -> PgType.INT2;
      case Types.INTEGER -> PgType.INT4;
      case Types.BIGINT -> PgType.INT8;
      case Types.REAL -> PgType.FLOAT4;
      case Types.FLOAT, Types.DOUBLE -> PgType.FLOAT8;
      case Types.NUMERIC, Types.DECIMAL -> PgType.NUMERIC;
      case Types.BINARY, Types.VARBINARY, Types.LONGVARBINARY, Types.BLOB -> PgType.BYTEA;
      case Types.DATE -> PgType.DATE;
      case Types.TIME -> PgType.TIME;
      case Types.TIMESTAMP -> PgType.TIMESTAMP;
      case Types.TIMESTAMP_WITH_TIMEZONE -> PgType.TIMESTAMPTZ;
      case Types.CHAR -> PgType.BPCHAR;
      case Types.VARCHAR -> PgType.VARCHAR;
      default -> PgType.TEXT;
    };
  }
}

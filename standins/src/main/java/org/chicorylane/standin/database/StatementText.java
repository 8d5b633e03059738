package org.chicorylane.standin.database;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * A statement as the client sent it, with what its text tells and its form for the embedded engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param sql the client's text
 * @param kind what it does
 * @param keyword its first word in capitals
 * @param engineSql the text for the engine
 * @param control the control statement that it is, or null
 * @param usesServerFunctions whether it reads or changes the server's own state
 * @param usesVolatileFunctions whether it calls functions that give each server another value
 */
record StatementText(
    String sql,
    StatementKind kind,
    String keyword,
    String engineSql,
    ControlStatement.@Nullable Match control,
    boolean usesServerFunctions,
    boolean usesVolatileFunctions) {

  private static final Pattern KEYWORD = Pattern.compile("\\s*(?:--[^\n]*\n\\s*)*\\(?\\s*(\\w*)");
  private static final Pattern QUOTED = Pattern.compile("'(?:[^']|'')*'|\"(?:[^\"]|\"\")*\"");
  private static final Pattern SERVER_FUNCTION = Pattern.compile("(?i)\\bpg_\\w+");
  private static final Pattern LOCKING = Pattern.compile("(?is).*\\bFOR\\s+(UPDATE|SHARE)\\b.*");
  private static final Pattern CATALOG_PREFIX = Pattern.compile("(?i)\\bpg_catalog\\.");
  private static final Pattern VIEW =
      Pattern.compile("(?i)\\b(" + String.join("|", ServerFunctions.views()) + ")\\b(?!\\s*\\()");
  private static final Pattern CONFLICT_COLUMNS =
      Pattern.compile("(?i)\\bON\\s+CONFLICT\\s*\\([^)]*\\)\\s*DO\\s+NOTHING");
  private static final Pattern TEXT_TYPE = Pattern.compile("(?i)\\b(text|jsonb?)\\b");
  private static final Pattern HEX_BYTES = Pattern.compile("'\\\\x([0-9a-fA-F]*)'\\s*::bytea");
  private static final Pattern INTERVAL =
      Pattern.compile("(?i)\\binterval\\s+'(\\d+)\\s+(second|minute|hour|day|month|year)s?'");
  private static final Pattern RETURNING = Pattern.compile("(?i)\\bRETURNING\\b");
  private static final Pattern NOW =
      Pattern.compile(
          "(?i)\\b(?:now|transaction_timestamp|statement_timestamp|clock_timestamp)\\s*\\(\\s*\\)"
              + "|\\bcurrent_timestamp\\b(?:\\s*\\(\\s*\\d*\\s*\\))?");
  private static final Pattern RANDOM_UUID =
      Pattern.compile("(?i)\\bgen_random_uuid\\s*\\(\\s*\\)");

  static StatementText of(String sql) {
    ControlStatement.Match control = ControlStatement.match(sql);
    if (control != null) {
      return new StatementText(sql, StatementKind.CONTROL, "", sql, control, true, false);
    }
    Matcher m = KEYWORD.matcher(sql);
    String keyword = m.lookingAt() ? m.group(1).toUpperCase(Locale.ROOT) : "";
    StatementKind kind = StatementKind.ofKeyword(keyword);
    String unquoted = QUOTED.matcher(sql).replaceAll("''");
    if (kind == StatementKind.READ && LOCKING.matcher(unquoted).matches()) {
      kind = StatementKind.LOCKING_READ;
    }
    boolean serverFunctions = SERVER_FUNCTION.matcher(unquoted).find();
    return new StatementText(
        sql,
        kind,
        keyword,
        engineSql(sql, kind, serverFunctions),
        null,
        serverFunctions,
        NOW.matcher(unquoted).find() || RANDOM_UUID.matcher(unquoted).find());
  }

  private static String engineSql(String sql, StatementKind kind, boolean serverFunctions) {
    String text = INTERVAL.matcher(sql).replaceAll("INTERVAL '$1' $2");
    if (text.contains("::bytea")) {
      text = HEX_BYTES.matcher(text).replaceAll("X'$1'");
    }
    if (serverFunctions) {
      text = replaceUnquoted(text, CATALOG_PREFIX, "");
      text = replaceUnquoted(text, VIEW, "$1()");
    }
    return switch (kind) {
      case INSERT ->
          returning(replaceUnquoted(text, CONFLICT_COLUMNS, "ON CONFLICT DO NOTHING"), kind);
      case UPDATE, DELETE -> returning(text, kind);
      case DEFINITION -> replaceUnquoted(text, TEXT_TYPE, "varchar");
      case READ, LOCKING_READ -> replaceUnquoted(text, NOW, "CURRENT_TIMESTAMP");
      default -> text;
    };
  }

  private static String returning(String sql, StatementKind kind) {
    Matcher m = RETURNING.matcher(masked(sql));
    if (!m.find()) {
      return sql;
    }
    String version = kind == StatementKind.DELETE ? "OLD" : "FINAL";
    String change = sql.substring(0, m.start());
    return "SELECT " + sql.substring(m.end()) + " FROM " + version + " TABLE (" + change + ")";
  }

  /** Returns the engine's text of a write with its volatile functions replaced by values. */
  String deterministicSql(String now) {
    if (!usesVolatileFunctions) {
      return engineSql;
    }
    String text =
        replaceUnquoted(engineSql, NOW, "CAST('" + now + "' AS timestamp with time zone)");
    return eachUnquoted(
        text,
        part ->
            RANDOM_UUID
                .matcher(part)
                .replaceAll(m -> "CAST('" + java.util.UUID.randomUUID() + "' AS uuid)"));
  }

  /** Returns the items of the select list, or none if the text is no plain SELECT. */
  List<String> selectItems() {
    List<String> items = new ArrayList<>();
    if (!keyword.equals("SELECT")) {
      return items;
    }
    String text = masked(sql.strip());
    int depth = 0;
    int start = "SELECT".length();
    for (int i = start; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '(') {
        depth++;
      } else if (c == ')') {
        depth--;
      } else if (depth == 0 && c == ',') {
        items.add(text.substring(start, i).strip());
        start = i + 1;
      } else if (depth == 0 && text.regionMatches(true, i, " FROM ", 0, " FROM ".length())) {
        items.add(text.substring(start, i).strip());
        return items;
      }
    }
    items.add(text.substring(start).replace(";", "").strip());
    return items;
  }

  /** Splits a simple query into its statements. */
  static List<String> split(String sql) {
    if (sql.indexOf(';') < 0) {
      return List.of(sql);
    }
    List<String> statements = new ArrayList<>();
    String masked = masked(sql);
    int start = 0;
    for (int i = masked.indexOf(';'); i >= 0; i = masked.indexOf(';', start)) {
      addIfPresent(statements, sql.substring(start, i));
      start = i + 1;
    }
    addIfPresent(statements, sql.substring(start));
    return statements.isEmpty() ? List.of("") : statements;
  }

  /** Returns a text of the same length in which nothing is quoted. */
  private static String masked(String sql) {
    return QUOTED.matcher(sql).replaceAll(m -> "q".repeat(m.group().length()));
  }

  private static void addIfPresent(List<String> statements, String statement) {
    if (!statement.isBlank()) {
      statements.add(statement.strip());
    }
  }

  private static String replaceUnquoted(String sql, Pattern pattern, String replacement) {
    return eachUnquoted(sql, part -> pattern.matcher(part).replaceAll(replacement));
  }

  private static String eachUnquoted(String sql, UnaryOperator<String> change) {
    Matcher m = QUOTED.matcher(sql);
    StringBuilder out = new StringBuilder();
    int start = 0;
    while (m.find()) {
      out.append(change.apply(sql.substring(start, m.start()))).append(m.group());
      start = m.end();
    }
    return out.append(change.apply(sql.substring(start))).toString();
  }
}

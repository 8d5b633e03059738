package org.chicorylane.standin.database;

import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * The statements that act on the session or the server instead of on data, each recognised by its
 * whole normalised text.
 */
enum ControlStatement {
  BEGIN("(?:BEGIN|START TRANSACTION)(?: WORK| TRANSACTION)?(.*)") {
    @Override
    Result run(SqlSession session, Matcher m) throws SqlError {
      session.transaction().begin(m.group(1));
      return Result.of("BEGIN");
    }
  },
  COMMIT("(?:COMMIT|END)(?: WORK| TRANSACTION)?") {
    @Override
    Result run(SqlSession session, Matcher m) throws SqlError {
      return Result.of(session.transaction().commit());
    }
  },
  ROLLBACK("(?:ROLLBACK|ABORT)(?: WORK| TRANSACTION)?") {
    @Override
    Result run(SqlSession session, Matcher m) throws SqlError {
      session.transaction().rollback();
      return Result.of("ROLLBACK");
    }
  },
  SAVEPOINT("SAVEPOINT (\\w+)") {
    @Override
    Result run(SqlSession session, Matcher m) throws SqlError {
      session.transaction().savepoint(m.group(1));
      return Result.of("SAVEPOINT");
    }
  },
  ROLLBACK_TO("ROLLBACK(?: WORK| TRANSACTION)? TO(?: SAVEPOINT)? (\\w+)") {
    @Override
    Result run(SqlSession session, Matcher m) throws SqlError {
      session.transaction().rollbackTo(m.group(1));
      return Result.of("ROLLBACK");
    }
  },
  RELEASE("RELEASE(?: SAVEPOINT)? (\\w+)") {
    @Override
    Result run(SqlSession session, Matcher m) {
      return Result.of("RELEASE");
    }
  },
  SET_CHARACTERISTICS("SET SESSION CHARACTERISTICS AS TRANSACTION (.*)") {
    @Override
    Result run(SqlSession session, Matcher m) throws SqlError {
      session.transaction().defaults(m.group(1));
      return Result.of("SET");
    }
  },
  SET_TRANSACTION("SET (?:LOCAL )?TRANSACTION (.*)") {
    @Override
    Result run(SqlSession session, Matcher m) throws SqlError {
      session.transaction().modes(m.group(1));
      return Result.of("SET");
    }
  },
  SET("SET (?:SESSION |LOCAL )?([\\w.]+)(?: TO |\\s?=\\s?)(.*)") {
    @Override
    Result run(SqlSession session, Matcher m) {
      session.settings().set(m.group(1), unquote(m.group(2)));
      return Result.of("SET");
    }
  },
  RESET("RESET ([\\w.]+)") {
    @Override
    Result run(SqlSession session, Matcher m) {
      session.settings().reset(m.group(1));
      return Result.of("RESET");
    }
  },
  DISCARD_ALL("DISCARD ALL") {
    @Override
    Result run(SqlSession session, Matcher m) {
      session.settings().reset("all");
      session.server().sessions().locks().releaseAll(session.pid());
      return Result.of("DISCARD ALL");
    }
  },
  DEALLOCATE("DEALLOCATE .*") {
    @Override
    Result run(SqlSession session, Matcher m) {
      return Result.of("DEALLOCATE");
    }
  },
  SHOW("SHOW ([\\w. ]+)") {
    @Override
    List<Column> columns(Matcher m) {
      return List.of(new Column(settingName(m), PgType.TEXT));
    }

    @Override
    Result run(SqlSession session, Matcher m) throws SqlError {
      return Result.row("SHOW", columns(m), session.show(settingName(m)));
    }
  },
  ALTER_SYSTEM_SET("ALTER SYSTEM SET (\\w+)(?: TO |\\s?=\\s?)(.*)") {
    @Override
    Result run(SqlSession session, Matcher m) throws SqlError {
      session.alterSystem(m.group(1), unquote(m.group(2)));
      return Result.of("ALTER SYSTEM");
    }
  },
  ALTER_SYSTEM_RESET("ALTER SYSTEM RESET (\\w+)") {
    @Override
    Result run(SqlSession session, Matcher m) throws SqlError {
      session.alterSystem(m.group(1), "");
      return Result.of("ALTER SYSTEM");
    }
  },
  CHECKPOINT("CHECKPOINT") {
    @Override
    Result run(SqlSession session, Matcher m) {
      return Result.of("CHECKPOINT");
    }
  };

  /** A control statement with the groups of its pattern. */
  record Match(ControlStatement statement, Matcher matcher) {

    List<Column> columns() {
      return statement.columns(matcher);
    }

    Result run(SqlSession session) throws SqlError {
      return statement.run(session, matcher);
    }
  }

  private static final Pattern SPACES = Pattern.compile("\\s+");
  private static final Pattern FIRST_WORDS =
      Pattern.compile(
          "(?i)\\s*(?:BEGIN|START|COMMIT|END|ROLLBACK|ABORT|SAVEPOINT|RELEASE|SET|RESET|DISCARD"
              + "|DEALLOCATE|SHOW|ALTER\\s+SYSTEM|CHECKPOINT)\\b.*",
          Pattern.DOTALL);

  private final Pattern pattern;

  ControlStatement(String regex) {
    pattern = Pattern.compile(regex, Pattern.CASE_INSENSITIVE);
  }

  /** Returns the control statement that {@code sql} is, or null. */
  static @Nullable Match match(String sql) {
    if (!FIRST_WORDS.matcher(sql).matches()) {
      return null;
    }
    String text = SPACES.matcher(sql.strip()).replaceAll(" ");
    if (text.endsWith(";")) {
      text = text.substring(0, text.length() - 1).strip();
    }
    for (ControlStatement s : values()) {
      Matcher m = s.pattern.matcher(text);
      if (m.matches()) {
        return new Match(s, m);
      }
    }
    return null;
  }

  abstract Result run(SqlSession session, Matcher m) throws SqlError;

  List<Column> columns(Matcher m) {
    return List.of();
  }

  /** Returns whether it may run in a failed transaction. */
  boolean endsFailure() {
    return this == COMMIT || this == ROLLBACK || this == ROLLBACK_TO;
  }

  private static String settingName(Matcher m) {
    return m.group(1).toLowerCase(Locale.ROOT).replace(' ', '_');
  }

  private static String unquote(String value) {
    String text = value.strip();
    if (text.length() >= 2 && text.startsWith("'") && text.endsWith("'")) {
      return text.substring(1, text.length() - 1).replace("''", "'");
    }
    return text;
  }
}

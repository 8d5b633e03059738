package org.chicorylane.internal.home;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Removes comments from SQL text by PostgreSQL's rules: block comments nest, and no comment begins
 * inside quotes.
 *
 * <pre>{@code
 * SqlComments.blankComments("SELECT f -- x"); // "SELECT f  "
 * }</pre>
 *
 * <p>Does not recognize a backslash that escapes a quote; callers must reject such texts first.
 * Thread-safe.
 */
final class SqlComments {
  private static final Pattern DOLLAR_QUOTE = Pattern.compile("\\$(?:[A-Za-z_]\\w*)?\\$");

  private final String sql;
  private final StringBuilder result = new StringBuilder();
  private int position;

  private SqlComments(String sql) {
    this.sql = sql;
  }

  /** Returns the text with each comment replaced by a blank, including one that is not closed. */
  static String blankComments(String sql) {
    SqlComments scanner = new SqlComments(sql);
    while (scanner.position < sql.length()) {
      scanner.scanNext();
    }
    return scanner.result.toString();
  }

  private void scanNext() {
    char c = sql.charAt(position);
    if (sql.startsWith("--", position)) {
      result.append(' ');
      position = endOfLine();
    } else if (sql.startsWith("/*", position)) {
      result.append(' ');
      position = endOfComment();
    } else if (c == '\'' || c == '"') {
      copyUntil(endOfQuoted(c));
    } else if (c == '$' && !isAfterWordPart()) {
      copyUntil(endOfDollarQuoted());
    } else {
      copyUntil(position + 1);
    }
  }

  private void copyUntil(int end) {
    result.append(sql, position, end);
    position = end;
  }

  private int endOfLine() {
    int i = position;
    while (i < sql.length() && sql.charAt(i) != '\n' && sql.charAt(i) != '\r') {
      i++;
    }
    return i;
  }

  private int endOfComment() {
    int depth = 0;
    int i = position;
    while (i < sql.length()) {
      if (sql.startsWith("/*", i)) {
        depth++;
        i += 2;
      } else if (sql.startsWith("*/", i)) {
        depth--;
        i += 2;
        if (depth == 0) {
          return i;
        }
      } else {
        i++;
      }
    }
    return i;
  }

  /**
   * Treats a doubled quote as the end of one literal and the start of the next; comments are found
   * the same way.
   */
  private int endOfQuoted(char quote) {
    int end = sql.indexOf(quote, position + 1);
    return end < 0 ? sql.length() : end + 1;
  }

  private int endOfDollarQuoted() {
    Matcher tag = DOLLAR_QUOTE.matcher(sql).region(position, sql.length());
    if (!tag.lookingAt()) {
      return position + 1;
    }
    int end = sql.indexOf(tag.group(), tag.end());
    return end < 0 ? sql.length() : end + tag.group().length();
  }

  private boolean isAfterWordPart() {
    return position > 0 && isWordPart(sql.charAt(position - 1));
  }

  private static boolean isWordPart(char c) {
    return Character.isLetterOrDigit(c) || c == '_' || c == '$' || c > 127;
  }
}

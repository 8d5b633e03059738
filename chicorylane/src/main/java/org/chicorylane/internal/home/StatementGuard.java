package org.chicorylane.internal.home;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.chicorylane.internal.statement.Statement;

/**
 * Rejects statements that would end their transaction or leave state behind in a pooled connection,
 * so that statements of different requests never mix.
 *
 * <pre>{@code
 * StatementGuard.findFirstViolation(statements).ifPresent(violation -> refuse(violation));
 * }</pre>
 *
 * <p>Checks the first word, calls of server-administration functions, and escapes that could hide
 * either; it does not parse SQL. A string literal whose text looks like such a call is rejected
 * too; callers can bind it as a parameter. Stateless and thread-safe.
 */
final class StatementGuard {
  private static final Set<String> ALLOWED_FIRST_WORDS =
      Set.of("SELECT", "INSERT", "UPDATE", "DELETE", "MERGE", "WITH", "VALUES", "TABLE", "EXPLAIN");

  private static final Pattern FIRST_WORD = Pattern.compile("\\A\\(*\\s*([A-Za-z]+)");

  private static final Pattern ADMINISTRATION_CALL =
      Pattern.compile("\\b(pg_\\w+|set_config|dblink\\w*)\"?\\s*\\(", Pattern.CASE_INSENSITIVE);

  /** {@code U&"..."} can spell the name of a function without containing it. */
  private static final Pattern UNICODE_IDENTIFIER = Pattern.compile("[Uu]&\"");

  /** {@code E'...'} may contain escaped quotes, which {@link SqlComments} does not recognize. */
  private static final Pattern ESCAPE_LITERAL = Pattern.compile("[Ee]'");

  private StatementGuard() {}

  /**
   * Returns why the first forbidden statement is rejected, and its place; empty if all are allowed.
   */
  static Optional<String> findFirstViolation(List<Statement> statements) {
    for (int i = 0; i < statements.size(); i++) {
      String violation = violation(statements.get(i).sql());
      if (!violation.isEmpty()) {
        return Optional.of(violation + " at $.statements[" + i + "].sql");
      }
    }
    return Optional.empty();
  }

  /** Returns why {@code sql} is rejected; empty if it is allowed. */
  private static String violation(String sql) {
    if (sql.contains("\\'") && ESCAPE_LITERAL.matcher(sql).find()) {
      return "a quote after a backslash is not allowed; bind the text as a parameter";
    }
    String withoutComments = SqlComments.blankComments(sql).strip();
    var word = FIRST_WORD.matcher(withoutComments);
    if (!word.find()) {
      return "the statement does not begin with a word";
    }
    String first = word.group(1).toUpperCase(Locale.ROOT);
    if (!ALLOWED_FIRST_WORDS.contains(first)) {
      return "\"" + first + "\" is not allowed; allowed are " + sortedWords();
    }
    var call = ADMINISTRATION_CALL.matcher(withoutComments);
    if (call.find()) {
      return "the function \"" + call.group(1) + "\" is not allowed";
    }
    return UNICODE_IDENTIFIER.matcher(withoutComments).find()
        ? "an identifier with Unicode escapes is not allowed"
        : "";
  }

  private static String sortedWords() {
    return String.join(", ", ALLOWED_FIRST_WORDS.stream().sorted().toList());
  }
}

package org.chicorylane.internal.home;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.chicorylane.internal.statement.Statement;

/**
 * Refuses statements that would break out of their transaction or leave state behind in a pooled
 * connection, so that statements of different requests never mix.
 *
 * <pre>{@code
 * StatementGuard.firstObjection(statements).ifPresent(objection -> refuse(objection));
 * }</pre>
 *
 * <p>It looks at the first word and at calls of server-administration functions; it does not parse
 * SQL. Text that looks like such a call within a string literal is refused too: bind it as a
 * parameter. Stateless and thread-safe.
 */
final class StatementGuard {
  private static final Set<String> ALLOWED_FIRST_WORDS =
      Set.of("SELECT", "INSERT", "UPDATE", "DELETE", "MERGE", "WITH", "VALUES", "TABLE", "EXPLAIN");

  private static final Pattern FIRST_WORD = Pattern.compile("\\A\\(*\\s*([A-Za-z]+)");

  private static final Pattern ADMINISTRATION_CALL =
      Pattern.compile("\\b(pg_\\w+|set_config|dblink\\w*)\"?\\s*\\(", Pattern.CASE_INSENSITIVE);

  private static final Pattern UNICODE_IDENTIFIER = Pattern.compile("[Uu]&\"");

  private static final Pattern ESCAPE_LITERAL = Pattern.compile("[Ee]'");

  private StatementGuard() {}

  /** Returns what is wrong with the first statement that is not allowed, if any. */
  static Optional<String> findFirstViolation(List<Statement> statements) {
    for (int i = 0; i < statements.size(); i++) {
      String violation = violation(statements.get(i).sql());
      if (!violation.isEmpty()) {
        return Optional.of(violation + " at $.statements[" + i + "].sql");
      }
    }
    return Optional.empty();
  }

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

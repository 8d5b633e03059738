package org.chicorylane.internal.caller;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonPrimitive;
import com.google.protobuf.ByteString;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.chicorylane.internal.finding.Finding;
import org.chicorylane.internal.json.JsonDocument;
import org.chicorylane.internal.json.ObjectReader;
import org.chicorylane.internal.relay.RequestKind;
import org.chicorylane.internal.statement.SqlValue;
import org.chicorylane.internal.statement.Statement;

/**
 * Parses the JSON body of a request to a database group.
 *
 * <pre>{@code
 * List<Finding> findings = new ArrayList<>();
 * RequestBody body = new RequestBodyReader(limits).read(utf8, RequestKind.WRITE, findings);
 * // use body only if findings is empty
 * }</pre>
 *
 * <p>Never throws, regardless of the input; mistakes are reported as findings. Immutable and
 * thread-safe.
 */
final class RequestBodyReader {
  /** The source of findings about the body. */
  static final String SOURCE = "body";

  private static final int MAXIMUM_DIGITS = 1_000;
  private static final Pattern INTEGER = Pattern.compile("-?\\d{1,18}");

  private final SizeLimits limits;

  RequestBodyReader(SizeLimits limits) {
    this.limits = limits;
  }

  /**
   * Parses a body and adds its mistakes to {@code findings}.
   *
   * @param utf8 the body, as JSON in UTF-8
   * @param kind the kind of request, which determines the fields that the body may have
   * @param findings receives the mistakes; the result is valid only if none is added
   */
  RequestBody read(ByteString utf8, RequestKind kind, List<Finding> findings) {
    boolean needsStatements = needsStatements(kind);
    if (utf8.isEmpty() && !needsStatements) {
      return RequestBody.EMPTY;
    }
    ObjectReader root = JsonDocument.parseObject(SOURCE, utf8.asReadOnlyByteBuffer(), findings);
    if (root == null) {
      return RequestBody.EMPTY;
    }
    List<Statement> statements = needsStatements ? readStatements(root, findings) : List.of();
    Optional<String> readClass =
        kind == RequestKind.READ ? root.string("readClass") : Optional.empty();
    Optional<Boolean> repeatable =
        kind == RequestKind.WRITE ? root.bool("repeatable") : Optional.empty();
    Optional<String> requestClass = root.string("requestClass");
    root.reportUnknownMembers();
    return new RequestBody(
        statements, readClass.orElse(null), requestClass.orElse(null), repeatable.orElse(false));
  }

  private static boolean needsStatements(RequestKind kind) {
    return switch (kind) {
      case READ, WRITE, CONTINUE -> true;
      case BEGIN, COMMIT, ROLLBACK -> false;
    };
  }

  private List<Statement> readStatements(ObjectReader root, List<Finding> findings) {
    Optional<JsonArray> array = root.require("statements").array("statements");
    if (array.isEmpty()) {
      return List.of();
    }
    int count = array.get().size();
    if (count == 0) {
      root.report("statements", "expected at least one statement");
    }
    if (count > limits.statements()) {
      root.report("statements", count + " statements, more than " + limits.statements());
      return List.of();
    }
    List<Statement> statements = new ArrayList<>();
    for (ObjectReader r : root.objects("statements").orElse(List.of())) {
      readStatement(r, findings).ifPresent(statements::add);
    }
    return statements;
  }

  private Optional<Statement> readStatement(ObjectReader reader, List<Finding> findings) {
    Optional<String> sql =
        reader.require("sql").string("sql").filter(text -> checkSql(text, reader));
    List<SqlValue> parameters = readParameters(reader, findings);
    reader.reportUnknownMembers();
    return sql.map(text -> new Statement(text, parameters));
  }

  private static boolean checkSql(String text, ObjectReader reader) {
    if (text.isBlank()) {
      reader.report("sql", "expected a statement, not only white space");
      return false;
    }
    if (text.indexOf('\0') >= 0) {
      reader.report("sql", "the character U+0000 cannot stand in SQL");
      return false;
    }
    return true;
  }

  private List<SqlValue> readParameters(ObjectReader reader, List<Finding> findings) {
    JsonArray array = reader.array("parameters").orElseGet(JsonArray::new);
    if (array.size() > limits.parameters()) {
      reader.report("parameters", array.size() + " parameters, more than " + limits.parameters());
      return List.of();
    }
    List<SqlValue> values = new ArrayList<>();
    for (int i = 0; i < array.size(); i++) {
      String path = reader.pathOf("parameters") + "[" + i + "]";
      readParameter(array.get(i), path, findings).ifPresent(values::add);
    }
    return values;
  }

  private static Optional<SqlValue> readParameter(
      JsonElement e, String path, List<Finding> findings) {
    if (e.isJsonNull()) {
      return Optional.of(SqlValue.NULL);
    }
    if (!e.isJsonPrimitive()) {
      String kind = e.isJsonArray() ? "an array" : "an object";
      findings.add(
          new Finding(SOURCE, path, "expected null, a boolean, a number or a string, not " + kind));
      return Optional.empty();
    }
    JsonPrimitive p = e.getAsJsonPrimitive();
    if (p.isBoolean()) {
      return Optional.of(new SqlValue.Bool(p.getAsBoolean()));
    }
    return p.isNumber()
        ? readNumber(p.getAsString(), path, findings)
        : readText(p.getAsString(), path, findings);
  }

  private static Optional<SqlValue> readText(String text, String path, List<Finding> findings) {
    if (text.indexOf('\0') >= 0) {
      findings.add(new Finding(SOURCE, path, "the character U+0000 cannot stand in SQL text"));
      return Optional.empty();
    }
    return Optional.of(new SqlValue.Text(text));
  }

  private static Optional<SqlValue> readNumber(String text, String path, List<Finding> findings) {
    if (INTEGER.matcher(text).matches()) {
      return Optional.of(new SqlValue.Int(Long.parseLong(text)));
    }
    Optional<SqlValue> value = parseExactNumber(text);
    if (value.isEmpty()) {
      findings.add(
          new Finding(SOURCE, path, "a number may have at most " + MAXIMUM_DIGITS + " digits"));
    }
    return value;
  }

  private static Optional<SqlValue> parseExactNumber(String text) {
    if (text.length() > 2 * MAXIMUM_DIGITS) {
      return Optional.empty();
    }
    try {
      BigDecimal value = new BigDecimal(text);
      boolean fits =
          Math.abs((long) value.scale()) <= MAXIMUM_DIGITS && value.precision() <= MAXIMUM_DIGITS;
      return fits ? Optional.of(toIntegerOrDecimal(text, value)) : Optional.empty();
    } catch (NumberFormatException e) {
      return Optional.empty(); // the exponent does not fit into 32 bits
    }
  }

  private static SqlValue toIntegerOrDecimal(String text, BigDecimal value) {
    boolean hasOnlyDigits = text.chars().allMatch(c -> c == '-' || Character.isDigit(c));
    return hasOnlyDigits && value.toBigInteger().bitLength() < Long.SIZE
        ? new SqlValue.Int(value.longValueExact())
        : new SqlValue.Decimal(value);
  }
}

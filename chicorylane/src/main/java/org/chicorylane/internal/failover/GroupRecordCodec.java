package org.chicorylane.internal.failover;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import org.chicorylane.internal.finding.Finding;
import org.chicorylane.internal.position.TermHistory;

/**
 * Encodes a {@link GroupRecord} as JSON and decodes it.
 *
 * <pre>{@code
 * if (GroupRecordCodec.decode(key, json) instanceof GroupRecordCodec.Decoded decoded) {
 *   use(decoded.record());
 * }
 * }</pre>
 *
 * <p>Thread-safe. Unknown members are ignored, so that a newer version may add some.
 */
public final class GroupRecordCodec {

  /** The result of decoding a record. */
  public sealed interface Result {}

  /** The record was decoded. */
  public record Decoded(GroupRecord record) implements Result {}

  /**
   * The text is not a valid record.
   *
   * @param findings all problems found, at least one
   */
  public record Malformed(List<Finding> findings) implements Result {}

  private GroupRecordCodec() {}

  /** Returns the record as JSON. */
  public static String encode(GroupRecord record) {
    JsonObject json = new JsonObject();
    json.addProperty("term", record.term());
    json.addProperty("primary", record.primary());
    json.addProperty("promoter", record.promoter());
    JsonArray history = new JsonArray();
    for (TermHistory.Entry entry : record.history().entries()) {
      JsonObject item = new JsonObject();
      item.addProperty("term", entry.term());
      item.addProperty("startOffset", entry.startOffset());
      history.add(item);
    }
    json.add("history", history);
    JsonArray voters = new JsonArray();
    record.voters().forEach(voters::add);
    json.add("voters", voters);
    return json.toString();
  }

  /**
   * Decodes a record.
   *
   * @param source the key under which the record was stored, for findings
   * @param text the JSON text
   */
  public static Result decode(String source, String text) {
    return new Reader(source).read(text);
  }

  private static final class Reader {
    private final String source;
    private final List<Finding> findings = new ArrayList<>();

    Reader(String source) {
      this.source = source;
    }

    Result read(String text) {
      JsonElement root;
      try {
        root = JsonParser.parseString(text);
      } catch (JsonParseException e) {
        addFinding("$", "no JSON: " + e.getMessage());
        return new Malformed(findings);
      }
      if (!root.isJsonObject()) {
        addFinding("$", "expected an object but was " + root);
        return new Malformed(findings);
      }
      return read(root.getAsJsonObject());
    }

    private Result read(JsonObject json) {
      long term = readNumber(json, "term", "$.term", 1);
      String primary = readString(json.get("primary"), "$.primary");
      String promoter = readString(json.get("promoter"), "$.promoter");
      List<TermHistory.Entry> entries = readEntries(json);
      List<String> voters = readVoters(json);
      if (!findings.isEmpty()) {
        return new Malformed(findings);
      }
      try {
        TermHistory history = TermHistory.of(entries);
        return new Decoded(new GroupRecord(term, primary, promoter, history, voters));
      } catch (IllegalArgumentException e) {
        addFinding("$", String.valueOf(e.getMessage()));
        return new Malformed(findings);
      }
    }

    private List<TermHistory.Entry> readEntries(JsonObject json) {
      List<TermHistory.Entry> entries = new ArrayList<>();
      long previousTerm = 0;
      for (JsonElement item : readArray(json, "history")) {
        String path = "$.history[" + entries.size() + "]";
        if (!item.isJsonObject()) {
          addFinding(path, "expected an object but was " + item);
          break;
        }
        long term = readNumber(item.getAsJsonObject(), "term", path + ".term", 1);
        long start = readNumber(item.getAsJsonObject(), "startOffset", path + ".startOffset", 0);
        if (term <= previousTerm) {
          addFinding("$.history", "term " + term + " follows term " + previousTerm);
        }
        previousTerm = term;
        entries.add(new TermHistory.Entry(term, start));
      }
      return entries;
    }

    private List<String> readVoters(JsonObject json) {
      List<String> voters = new ArrayList<>();
      for (JsonElement item : readArray(json, "voters")) {
        voters.add(readString(item, "$.voters[" + voters.size() + "]"));
      }
      return voters;
    }

    private JsonArray readArray(JsonObject json, String name) {
      JsonElement value = json.get(name);
      if (value != null && value.isJsonArray() && !value.getAsJsonArray().isEmpty()) {
        return value.getAsJsonArray();
      }
      addFinding("$." + name, "expected a list with at least one item but was " + value);
      return new JsonArray();
    }

    private String readString(JsonElement value, String path) {
      if (value instanceof JsonPrimitive text && text.isString() && !text.getAsString().isEmpty()) {
        return text.getAsString();
      }
      addFinding(path, "expected a text that is not empty but was " + value);
      return "";
    }

    private long readNumber(JsonObject json, String name, String path, long minimum) {
      JsonElement value = json.get(name);
      if (value instanceof JsonPrimitive number && number.isNumber()) {
        try {
          long exact = new BigDecimal(number.getAsString()).longValueExact();
          if (exact >= minimum) {
            return exact;
          }
        } catch (ArithmeticException | NumberFormatException e) {
          addFinding(path, "expected a whole number but was " + value);
          return minimum;
        }
      }
      addFinding(path, "expected a number of at least " + minimum + " but was " + value);
      return minimum;
    }

    private void addFinding(String path, String message) {
      findings.add(new Finding(source, path, message));
    }
  }
}

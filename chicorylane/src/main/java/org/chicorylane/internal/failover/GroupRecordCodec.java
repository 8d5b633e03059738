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
 * Writes a {@link GroupRecord} as JSON and reads it back.
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

  /** What became of reading a record. */
  public sealed interface Result {}

  /** The record was read. */
  public record Decoded(GroupRecord record) implements Result {}

  /**
   * The text is no record.
   *
   * @param findings all that is wrong, at least one
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
   * Reads a record.
   *
   * @param source the key that it was stored under, for findings
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
        find("$", "no JSON: " + e.getMessage());
        return new Malformed(findings);
      }
      if (!root.isJsonObject()) {
        find("$", "expected an object but was " + root);
        return new Malformed(findings);
      }
      return read(root.getAsJsonObject());
    }

    private Result read(JsonObject json) {
      long term = number(json, "term", "$.term", 1);
      String primary = string(json.get("primary"), "$.primary");
      String promoter = string(json.get("promoter"), "$.promoter");
      List<TermHistory.Entry> entries = entries(json);
      List<String> voters = voters(json);
      if (!findings.isEmpty()) {
        return new Malformed(findings);
      }
      try {
        TermHistory history = TermHistory.of(entries);
        return new Decoded(new GroupRecord(term, primary, promoter, history, voters));
      } catch (IllegalArgumentException e) {
        find("$", String.valueOf(e.getMessage()));
        return new Malformed(findings);
      }
    }

    private List<TermHistory.Entry> entries(JsonObject json) {
      List<TermHistory.Entry> entries = new ArrayList<>();
      long before = 0;
      for (JsonElement item : array(json, "history")) {
        String path = "$.history[" + entries.size() + "]";
        if (!item.isJsonObject()) {
          find(path, "expected an object but was " + item);
          break;
        }
        long term = number(item.getAsJsonObject(), "term", path + ".term", 1);
        long start = number(item.getAsJsonObject(), "startOffset", path + ".startOffset", 0);
        if (term <= before) {
          find("$.history", "term " + term + " follows term " + before);
        }
        before = term;
        entries.add(new TermHistory.Entry(term, start));
      }
      return entries;
    }

    private List<String> voters(JsonObject json) {
      List<String> voters = new ArrayList<>();
      for (JsonElement item : array(json, "voters")) {
        voters.add(string(item, "$.voters[" + voters.size() + "]"));
      }
      return voters;
    }

    private JsonArray array(JsonObject json, String name) {
      JsonElement value = json.get(name);
      if (value != null && value.isJsonArray() && !value.getAsJsonArray().isEmpty()) {
        return value.getAsJsonArray();
      }
      find("$." + name, "expected a list with at least one item but was " + value);
      return new JsonArray();
    }

    private String string(JsonElement value, String path) {
      if (value instanceof JsonPrimitive text && text.isString() && !text.getAsString().isEmpty()) {
        return text.getAsString();
      }
      find(path, "expected a text that is not empty but was " + value);
      return "";
    }

    private long number(JsonObject json, String name, String path, long least) {
      JsonElement value = json.get(name);
      if (value instanceof JsonPrimitive number && number.isNumber()) {
        try {
          long exact = new BigDecimal(number.getAsString()).longValueExact();
          if (exact >= least) {
            return exact;
          }
        } catch (ArithmeticException | NumberFormatException e) {
          find(path, "expected a whole number but was " + value);
          return least;
        }
      }
      find(path, "expected a number of at least " + least + " but was " + value);
      return least;
    }

    private void find(String path, String message) {
      findings.add(new Finding(source, path, message));
    }
  }
}

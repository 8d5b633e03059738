package org.chicorylane.internal.json;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import com.google.gson.Strictness;
import com.google.gson.ToNumberPolicy;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.MalformedJsonException;
import java.io.EOFException;
import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chicorylane.internal.finding.Finding;
import org.jspecify.annotations.Nullable;

/**
 * Strict JSON parser: accepts RFC 8259 only, rejects duplicate names and limits nesting.
 *
 * <pre>{@code
 * List<Finding> findings = new ArrayList<>();
 * ObjectReader root = JsonDocument.parseObject("settings.json", bytes, findings);
 * }</pre>
 *
 * <p>Numbers keep their text form, so that decimals remain exact. Stateless and thread-safe.
 */
public final class JsonDocument {
  /** The maximum nesting depth of arrays and objects. */
  public static final int MAXIMUM_NESTING = 16;

  private static final Pattern LOCATION = Pattern.compile("line \\d+ column \\d+");

  private JsonDocument() {}

  /**
   * Parses a text whose root is an object.
   *
   * @param source the name of the file or resource in findings
   * @param utf8 the text in UTF-8
   * @param findings the list that findings are added to
   * @return the root, or null if the text cannot be read as an object
   */
  public static @Nullable ObjectReader parseObject(
      String source, ByteBuffer utf8, List<Finding> findings) {
    String text;
    try {
      text = StandardCharsets.UTF_8.newDecoder().decode(utf8).toString();
    } catch (CharacterCodingException e) {
      findings.add(new Finding(source, "$", "the text is not UTF-8"));
      return null;
    }
    JsonElement root = parse(source, text, findings);
    if (root == null) {
      return null;
    }
    if (!root.isJsonObject()) {
      findings.add(new Finding(source, "$", "expected an object, not " + ObjectReader.quote(root)));
      return null;
    }
    return new ObjectReader(source, "$", root.getAsJsonObject(), findings);
  }

  private static @Nullable JsonElement parse(String source, String text, List<Finding> findings) {
    JsonReader reader = new JsonReader(new StringReader(text));
    reader.setStrictness(Strictness.STRICT);
    reader.setNestingLimit(MAXIMUM_NESTING);
    try {
      JsonElement root = readElement(source, reader, findings);
      JsonToken end = reader.peek(); // Throws if more text follows.
      return end == JsonToken.END_DOCUMENT ? root : null;
    } catch (EOFException e) {
      findings.add(new Finding(source, reader.getPath(), "the text ends within the document"));
    } catch (MalformedJsonException e) {
      findings.add(new Finding(source, reader.getPath(), "not well-formed JSON" + locationOf(e)));
    } catch (IOException | RuntimeException e) {
      findings.add(new Finding(source, reader.getPath(), "not readable as JSON" + locationOf(e)));
    }
    return null;
  }

  private static JsonElement readElement(String source, JsonReader reader, List<Finding> findings)
      throws IOException {
    return switch (reader.peek()) {
      case BEGIN_OBJECT -> readObject(source, reader, findings);
      case BEGIN_ARRAY -> readArray(source, reader, findings);
      case NUMBER -> new JsonPrimitive(ToNumberPolicy.LAZILY_PARSED_NUMBER.readNumber(reader));
      case BOOLEAN -> new JsonPrimitive(reader.nextBoolean());
      case NULL -> {
        reader.nextNull();
        yield JsonNull.INSTANCE;
      }
      default -> new JsonPrimitive(reader.nextString());
    };
  }

  private static JsonObject readObject(String source, JsonReader reader, List<Finding> findings)
      throws IOException {
    JsonObject object = new JsonObject();
    reader.beginObject();
    while (reader.hasNext()) {
      String name = reader.nextName();
      if (object.has(name)) {
        findings.add(new Finding(source, reader.getPath(), "\"" + name + "\" stands twice"));
      }
      object.add(name, readElement(source, reader, findings));
    }
    reader.endObject();
    return object;
  }

  private static JsonArray readArray(String source, JsonReader reader, List<Finding> findings)
      throws IOException {
    JsonArray array = new JsonArray();
    reader.beginArray();
    while (reader.hasNext()) {
      array.add(readElement(source, reader, findings));
    }
    reader.endArray();
    return array;
  }

  private static String locationOf(Exception e) {
    Matcher m = LOCATION.matcher(String.valueOf(e.getMessage()));
    return m.find() ? " near " + m.group() : "";
  }
}

package org.chicorylane.internal.declaration;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.MalformedJsonException;
import java.io.IOException;
import java.io.StringReader;
import java.math.BigDecimal;
import org.jspecify.annotations.Nullable;

/**
 * Parses a JSON document strictly by RFC 8259 into a tree.
 *
 * <p>Gson's own parser silently replaces an earlier value of a repeated key; this one reports a
 * finding. Not thread-safe.
 */
final class JsonTreeReader {
  private final JsonReader reader;
  private final FindingCollector findings;

  private JsonTreeReader(String text, FindingCollector findings) {
    this.reader = new JsonReader(new StringReader(text));
    this.findings = findings;
    reader.setStrictness(Strictness.STRICT);
  }

  /** Returns the root of the tree; null after a finding if the text is not valid JSON. */
  static @Nullable JsonElement read(String text, FindingCollector findings) {
    JsonTreeReader treeReader = new JsonTreeReader(text, findings);
    try {
      JsonElement root = treeReader.readValue();
      if (treeReader.reader.peek() != JsonToken.END_DOCUMENT) {
        findings.add("$", "text follows the end of the document");
        return null;
      }
      return root;
    } catch (MalformedJsonException | NumberFormatException e) {
      findings.add(treeReader.reader.getPath(), "not JSON: " + firstLine(e));
    } catch (IOException e) {
      findings.add(treeReader.reader.getPath(), "not JSON: the document ends too early");
    }
    return null;
  }

  private static String firstLine(Exception e) {
    String message = e.getMessage();
    return message == null ? "malformed" : message.lines().findFirst().orElse("malformed");
  }

  private JsonElement readValue() throws IOException {
    return switch (reader.peek()) {
      case BEGIN_OBJECT -> readObject();
      case BEGIN_ARRAY -> readArray();
      case STRING -> new JsonPrimitive(reader.nextString());
      case NUMBER -> new JsonPrimitive(new BigDecimal(reader.nextString()));
      case BOOLEAN -> new JsonPrimitive(reader.nextBoolean());
      case NULL -> readNull();
      default -> throw new MalformedJsonException("unexpected " + reader.peek());
    };
  }

  private JsonNull readNull() throws IOException {
    reader.nextNull();
    return JsonNull.INSTANCE;
  }

  private JsonObject readObject() throws IOException {
    JsonObject object = new JsonObject();
    reader.beginObject();
    while (reader.hasNext()) {
      String key = reader.nextName();
      if (object.has(key)) {
        findings.add(reader.getPath(), "key \"" + key + "\" stands more than once in its object");
        reader.skipValue();
      } else {
        object.add(key, readValue());
      }
    }
    reader.endObject();
    return object;
  }

  private JsonArray readArray() throws IOException {
    JsonArray array = new JsonArray();
    reader.beginArray();
    while (reader.hasNext()) {
      array.add(readValue());
    }
    reader.endArray();
    return array;
  }
}

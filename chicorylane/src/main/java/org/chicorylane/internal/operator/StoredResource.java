package org.chicorylane.internal.operator;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.util.Optional;
import org.chicorylane.internal.declaration.DeclarationReader;
import org.chicorylane.internal.declaration.ReadResult;
import org.chicorylane.internal.declaration.Resource;
import org.chicorylane.internal.dissemination.DeclarationKeys;
import org.chicorylane.internal.platform.KeyValueEntry;

/**
 * A document as the store holds it. The document must not be changed.
 *
 * @param kind the kind in its key
 * @param name the name in its key
 * @param document the JSON; empty if the store holds none that can be read
 * @param version the revision of its last change
 */
record StoredResource(String kind, String name, JsonObject document, long version) {

  static StoredResource of(KeyValueEntry entry) {
    String key = entry.key().substring(DeclarationKeys.DOCUMENT_PREFIX.length());
    int slash = Math.max(0, key.indexOf('/'));
    String kind = key.substring(0, slash);
    return new StoredResource(
        kind, key.substring(slash + 1), parse(entry.value()), entry.modRevision());
  }

  /** Returns kind and name, such as {@code ReadClass/lookup}. */
  String key() {
    return kind + "/" + name;
  }

  /** Returns what the document declares, if it is valid. */
  Optional<Resource> resource() {
    return DeclarationReader.read(key(), document.toString()) instanceof ReadResult.Valid valid
        ? Optional.of(valid.resource())
        : Optional.empty();
  }

  /** Returns a text of the metadata, or nothing if the last writer left none. */
  Optional<String> metadata(String field) {
    return document.get("metadata") instanceof JsonObject m
            && m.get(field) instanceof JsonPrimitive p
        ? Optional.of(p.getAsString())
        : Optional.empty();
  }

  private static JsonObject parse(String value) {
    try {
      JsonElement e = JsonParser.parseString(value);
      return e.isJsonObject() ? e.getAsJsonObject() : new JsonObject();
    } catch (JsonParseException e) {
      return new JsonObject();
    }
  }
}

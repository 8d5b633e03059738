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
 * A resource document as stored in the key-value service. The document must not be modified.
 *
 * @param kind the kind in its key
 * @param name the name in its key
 * @param document the JSON; an empty object if the stored text is not a JSON object
 * @param version the store revision of its last change
 */
record StoredResource(String kind, String name, JsonObject document, long version) {

  /** Returns the resource of an entry whose key starts with the document prefix. */
  static StoredResource of(KeyValueEntry entry) {
    String key = entry.key().substring(DeclarationKeys.DOCUMENT_PREFIX.length());
    int slash = Math.max(0, key.indexOf('/'));
    String kind = key.substring(0, slash);
    return new StoredResource(
        kind, key.substring(slash + 1), parse(entry.value()), entry.modRevision());
  }

  /** Returns kind and name, for example {@code ReadClass/lookup}. */
  String key() {
    return kind + "/" + name;
  }

  /** Returns the declared resource; empty if the document is invalid. */
  Optional<Resource> resource() {
    return DeclarationReader.read(key(), document.toString()) instanceof ReadResult.Valid valid
        ? Optional.of(valid.resource())
        : Optional.empty();
  }

  /** Returns a metadata field as text; empty if the last writer did not set it. */
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

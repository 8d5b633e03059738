package org.chicorylane.internal.operator;

import com.google.gson.JsonObject;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A document that is not in the version that an operator expects.
 *
 * @param key kind and name
 * @param expectedVersion the version expected; null if the document was expected to be absent
 * @param current the document that is there; null if none is
 */
record VersionConflict(
    String key, @Nullable String expectedVersion, @Nullable StoredResource current) {

  /** Returns the conflict for the answer and for people. */
  JsonObject toJson() {
    JsonObject json = new JsonObject();
    json.addProperty("resource", key);
    json.addProperty("expectedVersion", expectedVersion);
    Optional<StoredResource> there = Optional.ofNullable(current);
    json.addProperty("currentVersion", there.map(c -> Long.toString(c.version())).orElse(null));
    json.addProperty("changedBy", there.flatMap(c -> c.metadata("changedBy")).orElse(null));
    json.addProperty("changedAt", there.flatMap(c -> c.metadata("changedAt")).orElse(null));
    return json;
  }
}

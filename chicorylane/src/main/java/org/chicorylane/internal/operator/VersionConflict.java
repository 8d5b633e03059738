package org.chicorylane.internal.operator;

import com.google.gson.JsonObject;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A document whose version differs from the one that the operator expects.
 *
 * @param key kind and name of the document
 * @param expectedVersion the expected version; null if the document was expected not to exist
 * @param current the stored document; null if it does not exist
 */
record VersionConflict(
    String key, @Nullable String expectedVersion, @Nullable StoredResource current) {

  /** Returns the conflict as shown in the response. */
  JsonObject toJson() {
    JsonObject json = new JsonObject();
    json.addProperty("resource", key);
    json.addProperty("expectedVersion", expectedVersion);
    Optional<StoredResource> existing = Optional.ofNullable(current);
    json.addProperty("currentVersion", existing.map(c -> Long.toString(c.version())).orElse(null));
    json.addProperty("changedBy", existing.flatMap(c -> c.metadata("changedBy")).orElse(null));
    json.addProperty("changedAt", existing.flatMap(c -> c.metadata("changedAt")).orElse(null));
    return json;
  }
}

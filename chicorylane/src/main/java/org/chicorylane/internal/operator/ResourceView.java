package org.chicorylane.internal.operator;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.Map;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.declaration.ResourceKind;

/** Renders stored documents with their version and their status on this instance. Stateless. */
final class ResourceView {
  private ResourceView() {}

  /** Returns the document with {@code metadata.resourceVersion} and {@code status}. */
  static JsonObject toJson(StoredResource resource, Declarations inForce) {
    JsonObject json = resource.document().deepCopy();
    if (!(json.get("metadata") instanceof JsonObject)) {
      json.addProperty("kind", resource.kind());
      JsonObject metadata = new JsonObject();
      metadata.addProperty("name", resource.name());
      json.add("metadata", metadata);
    }
    json.getAsJsonObject("metadata")
        .addProperty("resourceVersion", Long.toString(resource.version()));
    JsonObject status = new JsonObject();
    status.addProperty("observedRevision", inForce.revision());
    JsonArray conditions = new JsonArray();
    conditions.add(condition(resource, inForce));
    status.add("conditions", conditions);
    json.add("status", status);
    return json;
  }

  private static JsonObject condition(StoredResource resource, Declarations inForce) {
    JsonObject condition = new JsonObject();
    condition.addProperty("type", "InForce");
    String reason = "InForce";
    String message = "in force on this instance";
    if (inForce.revision() < resource.version()) {
      reason = "RevisionNotArrived";
      message =
          "this instance runs revision "
              + inForce.revision()
              + ", older than version "
              + resource.version();
    } else if (!declares(inForce, resource)) {
      reason = "LeftOut";
      message = "this instance left the document out: it is wrong or does not fit the others";
    }
    condition.addProperty("status", reason.equals("InForce") ? "True" : "False");
    condition.addProperty("reason", reason);
    condition.addProperty("message", message);
    return condition;
  }

  private static boolean declares(Declarations inForce, StoredResource resource) {
    return ResourceKind.ofName(resource.kind())
        .map(kind -> specs(inForce, kind).containsKey(resource.name()))
        .orElse(false);
  }

  private static Map<String, ?> specs(Declarations declarations, ResourceKind kind) {
    return switch (kind) {
      case DATABASE_GROUP -> declarations.groups();
      case READ_CLASS -> declarations.readClasses();
      case REQUEST_CLASS -> declarations.requestClasses();
      case SERVICE_LEVEL_OBJECTIVE -> declarations.objectives();
    };
  }
}

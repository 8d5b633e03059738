package org.chicorylane.internal.operator;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;

/** Shows which revision each instance runs. Stateless. */
final class StatusView {
  private StatusView() {}

  /** Returns the status; without the store, instances are held against what runs here. */
  static JsonObject show(FleetStatus fleet, DeclaredResult result) {
    JsonObject json = new JsonObject();
    json.addProperty("instance", fleet.instance());
    json.addProperty("revision", fleet.inForce().revision());
    long wanted = fleet.inForce().revision();
    if (result instanceof DeclaredResult.Read read) {
      json.addProperty("storeReachable", true);
      json.addProperty("declaredRevision", read.declared().revision());
      wanted = Math.max(wanted, read.declared().revision());
    } else {
      json.addProperty("storeReachable", false);
      json.addProperty("storeProblem", ((DeclaredResult.Unavailable) result).reason());
    }
    JsonArray instances = new JsonArray();
    for (InstanceStatus instance : fleet.instances()) {
      instances.add(show(instance, wanted));
    }
    json.add("instances", instances);
    return json;
  }

  private static JsonObject show(InstanceStatus instance, long wanted) {
    JsonObject json = new JsonObject();
    json.addProperty("instance", instance.instance());
    json.addProperty("availabilityZone", instance.availabilityZone());
    json.addProperty("member", instance.member().name());
    instance.revision().ifPresent(r -> json.addProperty("revision", r));
    String reason = instance.behindReason(wanted);
    json.addProperty("behind", !reason.isEmpty());
    if (!reason.isEmpty()) {
      json.addProperty("reason", reason);
    }
    return json;
  }
}

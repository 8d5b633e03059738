package org.chicorylane.internal.operator;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;

/** Renders the status of the fleet: the revision that each instance runs. Stateless. */
final class StatusView {
  private StatusView() {}

  /**
   * Returns the status. Instances are compared with the newest known revision; if the store is
   * unavailable, that is the one in force on this instance.
   */
  static JsonObject toJson(FleetStatus fleet, SnapshotResult result) {
    JsonObject json = new JsonObject();
    json.addProperty("instance", fleet.instance());
    json.addProperty("revision", fleet.inForce().revision());
    long expectedRevision = fleet.inForce().revision();
    if (result instanceof SnapshotResult.Read read) {
      json.addProperty("storeReachable", true);
      json.addProperty("declaredRevision", read.snapshot().revision());
      expectedRevision = Math.max(expectedRevision, read.snapshot().revision());
    } else {
      json.addProperty("storeReachable", false);
      json.addProperty("storeProblem", ((SnapshotResult.Unavailable) result).reason());
    }
    JsonArray instances = new JsonArray();
    for (InstanceStatus instance : fleet.instances()) {
      instances.add(toJson(instance, expectedRevision));
    }
    json.add("instances", instances);
    return json;
  }

  private static JsonObject toJson(InstanceStatus instance, long expectedRevision) {
    JsonObject json = new JsonObject();
    json.addProperty("instance", instance.instance());
    json.addProperty("availabilityZone", instance.availabilityZone());
    json.addProperty("member", instance.member().name());
    instance.revision().ifPresent(r -> json.addProperty("revision", r));
    String reason = instance.behindReason(expectedRevision);
    json.addProperty("behind", !reason.isEmpty());
    if (!reason.isEmpty()) {
      json.addProperty("reason", reason);
    }
    return json;
  }
}

package org.chicorylane.standin.platform;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.TreeMap;

/**
 * The platform's list of instances, shown as a Kubernetes EndpointSlice. A change shows only after
 * the lag that was set when it was made.
 *
 * <p>Thread-safe.
 */
final class InstanceDirectory {

  /** The prefix of the per-endpoint port entries; on loopback ports differ by instance. */
  private static final String PORT_LABEL = "chicorylane.example/";

  private record Listed(PlatformInstance instance, boolean leaving) {}

  private record Change(Instant visibleAt, Runnable effect) {}

  private final InstantSource clock;
  private final TreeMap<String, Listed> visible = new TreeMap<>();
  private final Deque<Change> pending = new ArrayDeque<>();
  private Duration lag = Duration.ZERO;
  private long resourceVersion;

  InstanceDirectory(InstantSource clock) {
    this.clock = clock;
  }

  synchronized void setLag(Duration newLag) {
    lag = newLag;
  }

  synchronized void register(PlatformInstance instance) {
    enqueue(() -> visible.put(instance.id(), new Listed(instance, false)));
  }

  synchronized void markLeaving(String id) {
    enqueue(() -> visible.computeIfPresent(id, (k, old) -> new Listed(old.instance(), true)));
  }

  synchronized void remove(String id) {
    enqueue(() -> visible.remove(id));
  }

  synchronized JsonObject toEndpointSlice() {
    applyDue();
    JsonObject metadata = new JsonObject();
    metadata.addProperty("name", "chicorylane");
    metadata.addProperty("namespace", "default");
    metadata.addProperty("resourceVersion", Long.toString(resourceVersion));
    JsonArray endpoints = new JsonArray();
    visible.values().forEach(listed -> endpoints.add(toEndpoint(listed)));
    JsonObject slice = new JsonObject();
    slice.addProperty("apiVersion", "discovery.k8s.io/v1");
    slice.addProperty("kind", "EndpointSlice");
    slice.add("metadata", metadata);
    slice.addProperty("addressType", "IPv4");
    slice.add("ports", new JsonArray());
    slice.add("endpoints", endpoints);
    return slice;
  }

  private void enqueue(Runnable effect) {
    pending.add(new Change(clock.instant().plus(lag), effect));
  }

  private void applyDue() {
    Instant now = clock.instant();
    for (Change c = pending.peek(); c != null && !c.visibleAt().isAfter(now); c = pending.peek()) {
      pending.remove();
      c.effect().run();
      resourceVersion++;
    }
  }

  private static JsonObject toEndpoint(Listed listed) {
    PlatformInstance instance = listed.instance();
    JsonArray addresses = new JsonArray();
    addresses.add(instance.host());
    JsonObject conditions = new JsonObject();
    conditions.addProperty("ready", !listed.leaving());
    conditions.addProperty("serving", true);
    conditions.addProperty("terminating", listed.leaving());
    JsonObject target = new JsonObject();
    target.addProperty("kind", "Pod");
    target.addProperty("name", instance.id());
    JsonObject topology = new JsonObject();
    topology.addProperty(PORT_LABEL + "relay-port", Integer.toString(instance.relayPort()));
    topology.addProperty(
        PORT_LABEL + "membership-port", Integer.toString(instance.membershipPort()));
    JsonObject endpoint = new JsonObject();
    endpoint.add("addresses", addresses);
    endpoint.add("conditions", conditions);
    endpoint.add("targetRef", target);
    endpoint.addProperty("zone", instance.availabilityZone());
    endpoint.add("deprecatedTopology", topology);
    return endpoint;
  }
}

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
 * The platform's list of instances, published as a Kubernetes EndpointSlice. Each change becomes
 * visible after the lag that was set when the change was made.
 *
 * <p>Thread-safe.
 */
final class InstanceDirectory {

  /**
   * The prefix of the topology labels that hold an endpoint's ports. Ports are given per endpoint
   * because instances that share the loopback address differ in their ports.
   */
  private static final String PORT_LABEL = "chicorylane.example/";

  private record ListedInstance(PlatformInstance instance, boolean leaving) {}

  private record PendingChange(Instant visibleAt, Runnable effect) {}

  private final InstantSource clock;
  private final TreeMap<String, ListedInstance> visibleInstances = new TreeMap<>();
  private final Deque<PendingChange> pendingChanges = new ArrayDeque<>();
  private Duration lag = Duration.ZERO;
  private long resourceVersion;

  InstanceDirectory(InstantSource clock) {
    this.clock = clock;
  }

  /** Sets the lag of later changes. */
  synchronized void setLag(Duration newLag) {
    lag = newLag;
  }

  synchronized void register(PlatformInstance instance) {
    enqueue(() -> visibleInstances.put(instance.id(), new ListedInstance(instance, false)));
  }

  synchronized void markLeaving(String id) {
    enqueue(
        () ->
            visibleInstances.computeIfPresent(
                id, (k, old) -> new ListedInstance(old.instance(), true)));
  }

  synchronized void remove(String id) {
    enqueue(() -> visibleInstances.remove(id));
  }

  /** Returns the list, with all changes whose lag has passed, as an EndpointSlice object. */
  synchronized JsonObject toEndpointSlice() {
    applyDueChanges();
    JsonObject metadata = new JsonObject();
    metadata.addProperty("name", "chicorylane");
    metadata.addProperty("namespace", "default");
    metadata.addProperty("resourceVersion", Long.toString(resourceVersion));
    JsonArray endpoints = new JsonArray();
    visibleInstances.values().forEach(listed -> endpoints.add(toEndpoint(listed)));
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
    pendingChanges.add(new PendingChange(clock.instant().plus(lag), effect));
  }

  /** Applies the changes whose lag has passed, up to the first one whose lag has not. */
  private void applyDueChanges() {
    Instant now = clock.instant();
    for (PendingChange c = pendingChanges.peek();
        c != null && !c.visibleAt().isAfter(now);
        c = pendingChanges.peek()) {
      pendingChanges.remove();
      c.effect().run();
      resourceVersion++;
    }
  }

  private static JsonObject toEndpoint(ListedInstance listed) {
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

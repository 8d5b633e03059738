package org.chicorylane.internal.platform;

import com.codahale.metrics.MetricRegistry;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.platform.PlatformHttpClient.Answer;
import org.chicorylane.internal.platform.PlatformHttpClient.HttpResult;
import org.chicorylane.internal.platform.PlatformHttpClient.NoAnswer;
import org.jspecify.annotations.Nullable;

/**
 * The instance list as a Kubernetes EndpointSlice. Ports come from the slice's named ports {@code
 * relay} and {@code membership}; an endpoint whose {@code deprecatedTopology} names {@code
 * chicorylane.example/relay-port} or {@code chicorylane.example/membership-port} overrides them.
 *
 * <pre>{@code
 * InstanceList list = new EndpointSliceInstanceList(endpoints, Duration.ofSeconds(1), metrics);
 * }</pre>
 *
 * <p>Thread-safe. Endpoints without an id, an address or ports are left out.
 */
public final class EndpointSliceInstanceList implements InstanceList {

  private static final String PORT_LABEL = "chicorylane.example/";

  private final PlatformHttpClient http;

  /**
   * Creates a client; it connects on the first call.
   *
   * @throws IllegalArgumentException if there is no endpoint
   */
  public EndpointSliceInstanceList(List<URI> endpoints, Duration timeout, MetricRegistry metrics) {
    http = new PlatformHttpClient(endpoints, timeout, metrics);
  }

  @Override
  public CompletableFuture<ListResult> list() {
    return http.get(PlatformCallKind.INSTANCE_LIST).thenApply(EndpointSliceInstanceList::parse);
  }

  private static ListResult parse(HttpResult result) {
    if (result instanceof NoAnswer noAnswer) {
      return new Unavailable(noAnswer.reason());
    }
    Answer answer = (Answer) result;
    if (!answer.ok()) {
      return new Unavailable("HTTP status " + answer.status());
    }
    try {
      return new Listed(instances(JsonParser.parseString(answer.body()).getAsJsonObject()));
    } catch (JsonParseException | IllegalStateException | ClassCastException e) {
      return new Unavailable("malformed instance list: " + e.getMessage());
    }
  }

  private static List<ListedInstance> instances(JsonObject slice) {
    List<ListedInstance> instances = new ArrayList<>();
    JsonArray endpoints = slice.getAsJsonArray("endpoints");
    if (endpoints != null) {
      for (JsonElement endpoint : endpoints) {
        instance(slice, endpoint.getAsJsonObject()).ifPresent(instances::add);
      }
    }
    return instances;
  }

  private static Optional<ListedInstance> instance(JsonObject slice, JsonObject endpoint) {
    JsonObject target = endpoint.getAsJsonObject("targetRef");
    JsonArray addresses = endpoint.getAsJsonArray("addresses");
    int relayPort = port(slice, endpoint, "relay");
    int membershipPort = port(slice, endpoint, "membership");
    if (target == null
        || addresses == null
        || addresses.isEmpty()
        || relayPort == 0
        || membershipPort == 0) {
      return Optional.empty();
    }
    String id = text(target.get("name"));
    return Optional.of(
        new ListedInstance(
            id,
            addresses.get(0).getAsString(),
            relayPort,
            membershipPort,
            text(endpoint.get("zone")),
            isLeaving(endpoint.getAsJsonObject("conditions"))));
  }

  private static int port(JsonObject slice, JsonObject endpoint, String name) {
    JsonObject topology = endpoint.getAsJsonObject("deprecatedTopology");
    String label = PORT_LABEL + name + "-port";
    if (topology != null && topology.has(label)) {
      return topology.get(label).getAsInt();
    }
    JsonArray ports = slice.getAsJsonArray("ports");
    if (ports != null) {
      for (JsonElement element : ports) {
        JsonObject port = element.getAsJsonObject();
        if (text(port.get("name")).equals(name)) {
          return port.get("port").getAsInt();
        }
      }
    }
    return 0;
  }

  private static boolean isLeaving(@Nullable JsonObject conditions) {
    return conditions != null
        && conditions.has("terminating")
        && conditions.get("terminating").getAsBoolean();
  }

  private static String text(@Nullable JsonElement element) {
    return element == null || element.isJsonNull() ? "" : element.getAsString();
  }
}

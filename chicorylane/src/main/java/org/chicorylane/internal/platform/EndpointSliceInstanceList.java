package org.chicorylane.internal.platform;

import com.codahale.metrics.MetricRegistry;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.chicorylane.internal.json.UntrustedJson;
import org.chicorylane.internal.platform.PlatformHttpClient.Answer;
import org.chicorylane.internal.platform.PlatformHttpClient.HttpResult;
import org.chicorylane.internal.platform.PlatformHttpClient.NoAnswer;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Reads the instance list from a Kubernetes EndpointSlice. Ports come from the slice's named ports
 * {@code relay} and {@code membership}; an endpoint whose {@code deprecatedTopology} contains
 * {@code chicorylane.example/relay-port} or {@code chicorylane.example/membership-port} overrides
 * them.
 *
 * <pre>{@code
 * InstanceList list = new EndpointSliceInstanceList(endpoints, Duration.ofSeconds(1), metrics);
 * }</pre>
 *
 * <p>Thread-safe. Endpoints that are unreadable or lack an id, an address or a port are skipped.
 */
public final class EndpointSliceInstanceList implements InstanceList {

  private static final String PORT_LABEL = "chicorylane.example/";

  private static final int MAX_PORT = 65_535;

  private final PlatformHttpClient http;

  /**
   * Creates a client. It connects on the first call.
   *
   * @param timeout the longest wait for an answer
   * @throws IllegalArgumentException if {@code endpoints} is empty
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
    if (!answer.isOk()) {
      return new Unavailable("HTTP status " + answer.status());
    }
    List<String> problems = new ArrayList<>();
    return UntrustedJson.read(
            answer.body(), EndpointSliceInstanceList::parseInstances, problems::add)
        .<ListResult>map(Listed::new)
        .orElseGet(() -> new Unavailable("malformed instance list: " + problems.get(0)));
  }

  private static List<ListedInstance> parseInstances(JsonObject slice) {
    List<ListedInstance> instances = new ArrayList<>();
    JsonArray endpoints = slice.getAsJsonArray("endpoints");
    if (endpoints != null) {
      for (JsonElement endpoint : endpoints) {
        UntrustedJson.readElement(
                endpoint, e -> parseInstance(slice, e), EndpointSliceInstanceList::logUnreadable)
            .flatMap(Function.identity())
            .ifPresent(instances::add);
      }
    }
    return instances;
  }

  private static Optional<ListedInstance> parseInstance(JsonObject slice, JsonObject endpoint) {
    JsonObject target = endpoint.getAsJsonObject("targetRef");
    JsonArray addresses = endpoint.getAsJsonArray("addresses");
    int relayPort = findPort(slice, endpoint, "relay");
    int membershipPort = findPort(slice, endpoint, "membership");
    if (target == null
        || addresses == null
        || addresses.isEmpty()
        || relayPort == 0
        || membershipPort == 0) {
      return Optional.empty();
    }
    String id = textOf(target.get("name"));
    return Optional.of(
        new ListedInstance(
            id,
            addresses.get(0).getAsString(),
            relayPort,
            membershipPort,
            textOf(endpoint.get("zone")),
            isTerminating(endpoint.getAsJsonObject("conditions"))));
  }

  /** Returns the port of that name, from the endpoint or else the slice; 0 if there is none. */
  private static int findPort(JsonObject slice, JsonObject endpoint, String name) {
    JsonObject topology = endpoint.getAsJsonObject("deprecatedTopology");
    String label = PORT_LABEL + name + "-port";
    if (topology != null && topology.has(label)) {
      return port(label, topology.get(label));
    }
    JsonArray ports = slice.getAsJsonArray("ports");
    if (ports != null) {
      for (JsonElement element : ports) {
        JsonObject port = element.getAsJsonObject();
        if (textOf(port.get("name")).equals(name)) {
          return port(name, port.get("port"));
        }
      }
    }
    return 0;
  }

  /** Returns a port, which the list holds as a number or as text. */
  private static int port(String name, JsonElement value) {
    int port = Integer.parseInt(value.getAsString());
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException(name + " must be a port from 1 to 65535, not " + port);
    }
    return port;
  }

  private static void logUnreadable(String problem) {
    Logger.warn("endpoint of the instance list is unreadable: {}", problem);
  }

  private static boolean isTerminating(@Nullable JsonObject conditions) {
    return conditions != null
        && conditions.has("terminating")
        && conditions.get("terminating").getAsBoolean();
  }

  /** Returns the element as text; empty if it is null. */
  private static String textOf(@Nullable JsonElement element) {
    return element == null || element.isJsonNull() ? "" : element.getAsString();
  }
}

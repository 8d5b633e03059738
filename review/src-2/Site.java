import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.chicorylane.standin.metadata.MetadataEngine;
import org.chicorylane.standin.metadata.StandInMetadataStore;

/**
 * The platform and the servers of a case: one store and some database services of three servers
 * each, every one with a route of kind {@code primary}.
 */
final class Site implements AutoCloseable {

  private static final int SERVERS_PER_SERVICE = 3;

  private final int services;
  final StandInMetadataStore store = new StandInMetadataStore();
  final List<Backend> servers = new ArrayList<>();

  Site(int services, CaseRecord record) throws IOException {
    this.services = services;
    for (int service = 0; service < services; service++) {
      Backend.Log log = new Backend.Log();
      for (int i = 0; i < SERVERS_PER_SERVICE; i++) {
        Backend server =
            new Backend(serviceName(service), "i-" + service + "f3a91c" + i, i == 0, log, record);
        servers.add(server);
        put("servers/" + server.id, server.entry());
      }
    }
    put("op/config", configuration());
  }

  private String serviceName(int index) {
    return services == 1 ? "fireball-archive" : "fireball-archive-" + index;
  }

  /** Returns the databases that clients name. */
  List<String> databases() {
    return IntStream.range(0, services).mapToObj(i -> "upload-" + i).toList();
  }

  List<Backend> primaries() {
    return servers.stream().filter(s -> s.primary).toList();
  }

  String storeAddress() {
    return store.address();
  }

  private void put(String key, String value) {
    MetadataEngine engine = store.engine();
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    engine.transact(Map.of(), Map.of(key, Base64.getEncoder().encodeToString(bytes)), List.of());
  }

  private String configuration() {
    List<String> routes = new ArrayList<>();
    List<String> declared = new ArrayList<>();
    for (int i = 0; i < services; i++) {
      routes.add(
          "{\"name\":\"r-" + i + "\",\"host\":\"upload-" + i + "\",\"prefix\":\"/\","
              + "\"kind\":\"primary\",\"timeout_ms\":2000,\"target_latency_ms\":150,"
              + "\"priority\":1,\"service\":\"" + serviceName(i) + "\",\"max_attempts\":2}");
      declared.add(
          "{\"name\":\"" + serviceName(i) + "\",\"max_connections\":" + Backend.MAX_CONNECTIONS
              + ",\"sync_replicas\":1}");
    }
    return "{\"version\":3,\"routes\":[" + String.join(",", routes) + "],\"services\":["
        + String.join(",", declared) + "],\"limits\":{\"transaction_idle_ms\":6000}}";
  }

  @Override
  public void close() throws IOException {
    for (Backend server : servers) {
      server.close();
    }
    store.close();
  }
}

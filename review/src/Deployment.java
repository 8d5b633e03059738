import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A small deployment on loopback addresses: a stand-in of the platform's store, one
 * database group, and instances that run the command of the deploy file in processes of their own.
 */
final class Deployment implements AutoCloseable {

  static final String GROUP = "wash";
  static final String PRIMARY = "db-primary";
  static final String BOUNDED = "db-bounded";
  static final String OWN = "db-own";

  /** One instance. */
  static final class Instance {
    final String name;
    final int client;
    final int readiness;
    final int mesh;
    final int metrics;
    Process process;

    Instance(String name, int client, int readiness, int mesh, int metrics) {
      this.name = name;
      this.client = client;
      this.readiness = readiness;
      this.mesh = mesh;
      this.metrics = metrics;
    }
  }

  final DatabaseGroup group = new DatabaseGroup(GROUP);
  final Store store = new Store((service, id) -> group.promote(id));
  final List<Instance> instances = new CopyOnWriteArrayList<>();
  private final List<Socket> reservations = new ArrayList<>();
  private final Path root;
  private final Path folder;

  /** Starts the store and the servers; the folder is temporary. */
  Deployment(Path root, Path folder) throws IOException {
    this.root = root;
    this.folder = folder;
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> instances.forEach(i -> i.process.destroyForcibly())));
    group.servers.forEach(s -> register(s, "ready"));
    putConfiguration(1, null);
  }

  /** Writes the entry of a server. */
  void register(DatabaseGroup.Server s, String state) {
    JsonObject e = new JsonObject();
    e.addProperty("service", GROUP);
    e.addProperty("address", s.address());
    e.addProperty("zone", "hall-liben");
    e.addProperty("version", "v1");
    e.addProperty("slots", 3);
    e.addProperty("state", state);
    e.addProperty("cold_remaining_ms", 0);
    e.addProperty("database_role", s.role());
    e.addProperty("sequence", 1);
    put("servers/" + s.id, e.toString());
  }

  /** Writes a configuration with one route of each kind. */
  void putConfiguration(long version, JsonArray tenants) {
    JsonArray routes = new JsonArray();
    routes.add(route(PRIMARY, "primary"));
    routes.add(route(BOUNDED, "bounded_staleness"));
    routes.add(route(OWN, "read_your_writes"));
    JsonObject service = new JsonObject();
    service.addProperty("name", GROUP);
    service.addProperty("max_connections", 23);
    service.addProperty("sync_replicas", 1);
    JsonArray services = new JsonArray();
    services.add(service);
    JsonObject limits = new JsonObject();
    limits.addProperty("transaction_idle_ms", 3_000);
    JsonObject c = new JsonObject();
    c.addProperty("version", version);
    c.add("routes", routes);
    c.add("services", services);
    c.add("limits", limits);
    if (tenants != null) {
      c.add("tenants", tenants);
    }
    put("op/config", c.toString());
  }

  private static JsonObject route(String host, String kind) {
    JsonObject r = new JsonObject();
    r.addProperty("name", "route-" + host);
    r.addProperty("host", host);
    r.addProperty("service", GROUP);
    r.addProperty("kind", kind);
    r.addProperty("timeout_ms", 800);
    r.addProperty("target_latency_ms", 250);
    r.addProperty("priority", 1);
    if (!kind.equals("primary")) {
      r.addProperty("max_staleness_ms", 1_500);
    }
    return r;
  }

  void put(String key, String value) {
    String text = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    store.engine.transact(Map.of(), Map.of(key, text), List.of());
  }

  private int port() throws IOException {
    Socket s = new Socket();
    s.setReuseAddress(true);
    s.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    reservations.add(s);
    return s.getLocalPort();
  }

  /** Starts an instance and waits until it is ready. */
  Instance start(String name) throws IOException, InterruptedException {
    return start(name, store.address());
  }

  /** Starts an instance that reaches the platform's promotion call at the given address. */
  Instance start(String name, String promotionAddress) throws IOException, InterruptedException {
    Instance i = new Instance(name, port(), port(), port(), port());
    Path settings = folder.resolve(name + ".json");
    Files.writeString(settings, settings(i, promotionAddress).toString());
    ProcessBuilder b = new ProcessBuilder(command());
    b.directory(root.toFile());
    b.environment().put("CHICORYLANE_CONFIG", settings.toString());
    File log = folder.resolve(name + ".out").toFile();
    b.redirectErrorStream(true).redirectOutput(log);
    i.process = b.start();
    instances.add(i);
    awaitReady(i, 20_000);
    return i;
  }

  /** Returns the command of the role in the deploy file. */
  private List<String> command() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return List.of(run.split(" +"));
      }
    }
    throw new IOException("no run in deploy/system.toml");
  }

  private JsonObject settings(Instance i, String promotionAddress) {
    JsonObject o = new JsonObject();
    o.addProperty("instance", i.name);
    o.addProperty("availabilityZone", "hall-liben");
    o.addProperty("address", "127.0.0.1");
    o.addProperty("clientAddress", "127.0.0.1:" + i.client);
    o.addProperty("readinessAddress", "127.0.0.1:" + i.readiness);
    JsonArray ports = new JsonArray();
    ports.add(i.mesh);
    ports.add(i.metrics);
    o.add("instancePorts", ports);
    o.addProperty("storeAddress", store.address());
    o.addProperty("promotionAddress", promotionAddress);
    o.addProperty("processorShare", 0.75);
    o.addProperty("processorSpeed", 1);
    o.addProperty("linkMegabits", 1000.0);
    o.addProperty("stopSeconds", 6);
    o.addProperty("drainMillis", 7_000);
    JsonArray features = new JsonArray();
    List.of("base", "drain", "config", "cost", "recover", "sql", "platform").forEach(features::add);
    o.add("features", features);
    return o;
  }

  static boolean isReady(Instance i) {
    try {
      HttpURLConnection c =
          (HttpURLConnection)
              URI.create("http://127.0.0.1:" + i.readiness + "/-/readiness").toURL().openConnection();
      c.setConnectTimeout(1_000);
      c.setReadTimeout(1_000);
      boolean ready = c.getResponseCode() == 200;
      c.disconnect();
      return ready;
    } catch (IOException e) {
      return false;
    }
  }

  private static void awaitReady(Instance i, long millis) throws IOException, InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      if (isReady(i)) {
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException("instance " + i.name + " was not ready within " + millis + " ms");
  }

  @Override
  public void close() throws IOException {
    for (Instance i : instances) {
      i.process.destroyForcibly();
    }
    for (Instance i : instances) {
      try {
        i.process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    store.close();
    for (Socket s : reservations) {
      s.close();
    }
  }
}

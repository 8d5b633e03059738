import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.chicorylane.standin.metadata.MetadataEngine;
import org.chicorylane.standin.metadata.StandInMetadataStore;

/** The platform's stand-ins and the instances, which run as processes of their own. */
final class Fleet {

  private static final int LOWEST_PORT = 12_000;
  private static final int HIGHEST_PORT = 32_000;

  /** An instance. */
  static final class Instance {
    final String name;
    final Path settings;
    final int clientPort;
    final List<Process> processes = new ArrayList<>();

    Instance(String name, Path settings, int clientPort) {
      this.name = name;
      this.settings = settings;
      this.clientPort = clientPort;
    }

    Process process() {
      return processes.get(processes.size() - 1);
    }
  }

  /** What the platform's call for promotions has seen. */
  record Order(String server, String holder, long token) {}

  final StandInMetadataStore store = new StandInMetadataStore();
  final Database database;
  final List<Instance> instances = new ArrayList<>();
  final List<Order> orders = new ArrayList<>();
  private final CaseRecord record;
  private final HttpServer platform;
  private final List<String> command;
  private final Path root;
  private final Path folder;
  private final Map<String, String> entries = new HashMap<>();

  /** The last time at which each server wrote its entry, by its id. */
  private final Map<String, Long> seen = new HashMap<>();

  /**
   * Starts the stand-ins.
   *
   * @param command the command of the role in the deploy file
   */
  Fleet(Path root, Path folder, List<String> command, CaseRecord record) throws IOException {
    this.root = root;
    this.folder = folder;
    this.command = command;
    this.record = record;
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    database = new Database(record);
    platform = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    platform.setExecutor(
        Executors.newCachedThreadPool(
            r -> {
              Thread t = new Thread(r);
              t.setDaemon(true);
              return t;
            }));
    platform.createContext(
        "/promotion",
        exchange -> {
          String body =
              new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
          JsonObject call = JsonParser.parseString(body).getAsJsonObject();
          Order order =
              new Order(
                  call.get("id").getAsString(),
                  exchange.getRequestHeaders().getFirst("Duty-Holder"),
                  Long.parseLong(exchange.getRequestHeaders().getFirst("Fencing-Token")));
          boolean runs = onOrder(order);
          exchange.sendResponseHeaders(runs ? 200 : 409, -1);
          exchange.close();
        });
    platform.start();
    writeEntries();
    putConfiguration(1, false);
    Thread beats =
        new Thread(
            () -> {
              while (true) {
                Database.sleep(20);
                writeEntries();
              }
            });
    beats.setDaemon(true);
    beats.start();
  }

  private boolean onOrder(Order order) {
    synchronized (database) {
      boolean runs =
          database.servers.stream().anyMatch(s -> s.id.equals(order.server()) && s.runs());
      record.write(
          "POST /promotion of " + order.server() + " from " + order.holder() + ", Fencing-Token "
              + order.token() + (runs ? " -> 200" : " -> 409"));
      for (Order earlier : orders) {
        if (earlier.token() > order.token()) {
          database.violations.add(
              "ONE: " + order.holder() + " sends token " + order.token() + " after "
                  + earlier.holder() + " had sent " + earlier.token());
          break;
        }
        if (earlier.token() == order.token() && !earlier.holder().equals(order.holder())) {
          database.violations.add("ONE: two holders send token " + order.token());
          break;
        }
      }
      orders.add(order);
      if (runs) {
        database.order(order.server());
      }
      return runs;
    }
  }

  int platformPort() {
    return platform.getAddress().getPort();
  }

  /**
   * Returns a port that is free. It is below those that the kernel gives to outgoing connections, one
   * of which could otherwise hold it when a process is started again.
   */
  static int freePort() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
      try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return s.getLocalPort();
      } catch (IOException e) {
        // Another process has it.
      }
    }
  }

  int storePort() {
    return Integer.parseInt(store.address().substring(store.address().indexOf(':') + 1));
  }

  /** Writes the settings of an instance and starts it. */
  Instance start(String name, int promotionPort) throws IOException {
    return start(name, promotionPort, store.address());
  }

  /** Writes the settings of an instance that reaches the store at an address, and starts it. */
  Instance start(String name, int promotionPort, String storeAddress) throws IOException {
    int clientPort = freePort();
    JsonArray ports = new JsonArray();
    ports.add(freePort());
    ports.add(freePort());
    JsonObject o = new JsonObject();
    o.addProperty("instance", name);
    o.addProperty("availabilityZone", "zone-a");
    o.addProperty("address", "127.0.0.1");
    o.addProperty("clientAddress", "127.0.0.1:" + clientPort);
    o.addProperty("readinessAddress", "127.0.0.1:" + freePort());
    o.add("instancePorts", ports);
    o.addProperty("storeAddress", storeAddress);
    o.addProperty("promotionAddress", "127.0.0.1:" + promotionPort);
    o.addProperty("processorShare", 0.75);
    o.addProperty("processorSpeed", 1);
    o.addProperty("linkMegabits", 1000);
    o.addProperty("stopSeconds", 6);
    o.addProperty("drainMillis", 7000);
    Path settings = folder.resolve(name + ".json");
    Files.writeString(settings, o.toString());
    Instance instance = new Instance(name, settings, clientPort);
    instances.add(instance);
    startProcess(instance);
    return instance;
  }

  /** Starts the process of an instance. */
  void startProcess(Instance instance) throws IOException {
    ProcessBuilder b = new ProcessBuilder(command).directory(root.toFile());
    b.environment().put("CHICORYLANE_CONFIG", instance.settings.toString());
    b.redirectErrorStream(true);
    b.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(instance.name + ".log").toFile()));
    instance.processes.add(b.start());
    record.write("instance " + instance.name + " starts");
  }

  /** Waits until a home is recorded and serves. */
  String awaitHome(long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      JsonObject home = homeRecord();
      if (home != null && home.has("primary") && !home.get("primary").isJsonNull()) {
        return home.getAsJsonObject("home").get("name").getAsString();
      }
      Database.sleep(50);
    }
    return null;
  }

  /** Returns the stored record of the group's home; null if there is none. */
  JsonObject homeRecord() {
    MetadataEngine.Item item = store.engine().get("lane/groups/" + Database.NAME);
    return item == null || item.value() == null
        ? null
        : JsonParser.parseString(
                new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8))
            .getAsJsonObject();
  }

  private void put(String key, String value) {
    String base64 = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    store.engine().transact(Map.of(), Map.of(key, base64), List.of());
  }

  /** Writes the entries that have changed; one of a server that is down lapses after 3.6 s. */
  private synchronized void writeEntries() {
    synchronized (database) {
      for (String id : List.copyOf(entries.keySet())) {
        if (database.servers.stream().noneMatch(s -> s.id.equals(id))) {
          store.engine().transact(Map.of(), Map.of(), List.of("servers/" + id));
          entries.remove(id);
          record.write("entry of " + id + " is removed");
        }
      }
      for (Database.Server s : database.servers) {
        long now = System.nanoTime();
        if (s.runs() && s.listed && !s.dark) {
          seen.put(s.id, now);
        }
        boolean present =
            seen.containsKey(s.id) && now - seen.get(s.id) < TimeUnit.MILLISECONDS.toNanos(3_600);
        String entry = present ? entry(s) : null;
        String before = entries.get(s.id);
        if (entry != null && s.runs() && !s.dark && !entry.equals(before)) {
          put("servers/" + s.id, entry);
          entries.put(s.id, entry);
        } else if (entry == null && before != null) {
          store.engine().transact(Map.of(), Map.of(), List.of("servers/" + s.id));
          entries.remove(s.id);
          record.write("entry of " + s.id + " lapses");
        }
      }
    }
  }

  private static String entry(Database.Server s) {
    JsonObject o = new JsonObject();
    o.addProperty("service", Database.NAME);
    o.addProperty("address", s.address());
    o.addProperty("zone", "zone-a");
    o.addProperty("version", "v1");
    o.addProperty("slots", 3);
    o.addProperty("state", s.draining ? "draining" : "ready");
    o.addProperty("cold_remaining_ms", 0);
    o.addProperty("database_role", s.primary ? "primary" : "replica");
    o.addProperty("sequence", 1);
    o.addProperty("born", s.born);
    return o.toString();
  }

  /** Adds a route for reads that may be old. */
  void addReadRoute() {
    putConfiguration(2, true);
  }

  private void putConfiguration(int version, boolean hasReadRoute) {
    JsonArray routes = new JsonArray();
    routes.add(route("route-1", "db-primary", "primary"));
    if (hasReadRoute) {
      JsonObject reads = route("route-2", "db-reads", "bounded_staleness");
      reads.addProperty("max_staleness_ms", 1_500);
      routes.add(reads);
    }
    JsonObject service = new JsonObject();
    service.addProperty("name", Database.NAME);
    service.addProperty("max_connections", Database.MAX_CONNECTIONS);
    service.addProperty("sync_replicas", 1);
    JsonArray services = new JsonArray();
    services.add(service);
    JsonObject limits = new JsonObject();
    limits.addProperty("transaction_idle_ms", 3_000);
    JsonObject o = new JsonObject();
    o.addProperty("version", version);
    o.add("routes", routes);
    o.add("services", services);
    o.add("limits", limits);
    put("op/config", o.toString());
  }

  private static JsonObject route(String name, String host, String kind) {
    JsonObject route = new JsonObject();
    route.addProperty("name", name);
    route.addProperty("host", host);
    route.addProperty("prefix", "/");
    route.addProperty("kind", kind);
    route.addProperty("timeout_ms", 800);
    route.addProperty("target_latency_ms", 250);
    route.addProperty("priority", 1);
    route.addProperty("service", Database.NAME);
    return route;
  }

  private void endProcesses() {
    for (Instance instance : instances) {
      instance.processes.forEach(Process::destroyForcibly);
    }
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
      Files.delete(folder);
    } catch (IOException e) {
      System.err.println("temporary folder " + folder + " remains: " + e);
    }
  }
}

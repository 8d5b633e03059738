import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The instances of a case: the project's program in processes of its own, on loopback ports. */
final class Fleet implements AutoCloseable {

  private static final long STOP_INTERVAL_MILLIS = 300;
  private static final Pattern HOME = Pattern.compile("homes [1-9].*");
  private static final Pattern RUN = Pattern.compile("run = \"([^\"]*)\"");

  /** One instance; its ports stay the same when it is started again. */
  static final class Instance {
    final String name;
    final int clientPort;
    final int readinessPort;
    final int meshPort;
    final int metricsPort;
    Process process;

    /** Whether the machine is gone: its process is stopped and answers nothing any more. */
    volatile boolean removed;

    Instance(String name, int[] ports) {
      this.name = name;
      clientPort = ports[0];
      readinessPort = ports[1];
      meshPort = ports[2];
      metricsPort = ports[3];
    }
  }

  private final List<String> command;
  private final Path folder;
  private final String storeAddress;
  private final String promotionAddress;
  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private Thread keeper;

  /**
   * Creates a fleet without instances.
   *
   * @param folder the folder for settings and logs
   */
  Fleet(Path folder, String storeAddress, String promotionAddress) throws IOException {
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no command of a role");
    }
    this.command = List.of(run.group(1).split(" "));
    this.folder = folder;
    this.storeAddress = storeAddress;
    this.promotionAddress = promotionAddress;
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** Returns free loopback ports. */
  static int[] freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      sockets.add(socket);
      ports[i] = socket.getLocalPort();
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  /** Starts an instance; one that has run before is started with its earlier settings. */
  synchronized Instance start(String name, String zone) throws IOException {
    Instance instance = instances.get(name);
    if (instance == null) {
      instance = new Instance(name, freePorts(4));
      instances.put(name, instance);
    }
    Path settings = folder.resolve(name + ".json");
    Files.writeString(
        settings,
        "{"
            + "\"instance\":\"" + name + "\",\"availabilityZone\":\"" + zone + "\","
            + "\"address\":\"127.0.0.1\","
            + "\"clientAddress\":\"127.0.0.1:" + instance.clientPort + "\","
            + "\"readinessAddress\":\"127.0.0.1:" + instance.readinessPort + "\","
            + "\"instancePorts\":[" + instance.meshPort + "," + instance.metricsPort + "],"
            + "\"storeAddress\":\"" + storeAddress + "\","
            + "\"promotionAddress\":\"" + promotionAddress + "\","
            + "\"processorShare\":0.75,\"processorSpeed\":1,\"linkMegabits\":1000.0,"
            + "\"stopSeconds\":6,\"drainMillis\":7000}");
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("CHICORYLANE_CONFIG", settings.toString());
    File log = folder.resolve(name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    instance.process = builder.start();
    return instance;
  }

  /** Waits until the readiness page of each instance that runs answers 200. */
  boolean awaitReady(long millis) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    for (Instance instance : all()) {
      while (instance.process.isAlive() && !isReady(instance)) {
        if (System.nanoTime() > end) {
          return false;
        }
        Thread.sleep(50);
      }
    }
    return true;
  }

  static boolean isReady(Instance instance) {
    try {
      HttpURLConnection page =
          (HttpURLConnection)
              URI.create("http://127.0.0.1:" + instance.readinessPort + "/-/readiness")
                  .toURL()
                  .openConnection();
      page.setConnectTimeout(500);
      page.setReadTimeout(500);
      return page.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  synchronized List<Instance> all() {
    return List.copyOf(instances.values());
  }

  /** Returns the instances whose machines are not gone. */
  synchronized List<Instance> live() {
    return instances.values().stream().filter(i -> !i.removed).toList();
  }

  /** Removes a machine: its process is stopped for good, as a machine without power answers nobody. */
  void remove(Instance instance) throws IOException, InterruptedException {
    instance.removed = true;
    signal(instance, "STOP");
    if (keeper == null) {
      keeper = new Thread(this::keepStopped);
      keeper.setDaemon(true);
      keeper.start();
    }
  }

  /** Stops removed instances again: the kernel continues them if the script's shell ends. */
  private void keepStopped() {
    try {
      while (true) {
        Thread.sleep(STOP_INTERVAL_MILLIS);
        for (Instance instance : all()) {
          if (instance.removed && instance.process.isAlive()) {
            signal(instance, "STOP");
          }
        }
      }
    } catch (IOException | InterruptedException e) {
      // The program is about to end.
      return;
    }
  }

  /** Returns whether an instance reports on its metrics page that it is the home of a group. */
  static boolean isHome(Instance instance) throws IOException {
    HttpURLConnection page =
        (HttpURLConnection)
            URI.create("http://127.0.0.1:" + instance.metricsPort + "/metrics")
                .toURL()
                .openConnection();
    page.setConnectTimeout(1_000);
    page.setReadTimeout(1_000);
    String text = new String(page.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return text.lines().anyMatch(line -> HOME.matcher(line).matches());
  }

  /** Sends a signal to a process that this fleet started. */
  static void signal(Instance instance, String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(instance.process.pid()))
        .start()
        .waitFor();
  }

  @Override
  public synchronized void close() {
    for (Instance instance : instances.values()) {
      instance.process.destroyForcibly();
    }
  }
}

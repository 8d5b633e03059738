package org.chicorylane.bench.load;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.chicorylane.bench.demo.SessionSchema;
import org.chicorylane.bench.fleet.EmbeddedInstances;
import org.chicorylane.bench.fleet.ExampleDocuments;
import org.chicorylane.bench.fleet.StandInFleet;
import org.chicorylane.internal.declaration.DeclarationReader;
import org.chicorylane.internal.declaration.LenientAssembly;

/**
 * Measures the marginal cost of a connection, a declared group and a homed group.
 *
 * <p>A homed group is one whose home is the instance under measurement.
 *
 * <p>The kernel's socket buffers and the stacks of threads are not counted. Stand-ins run in the
 * same process, so the slope of homed groups includes three stand-in servers per group.
 */
final class SlopesBenchmark {
  private static final List<Integer> CONNECTION_COUNTS = List.of(0, 1_000, 2_000, 4_000);
  private static final List<Integer> DECLARED_GROUP_COUNTS = List.of(0, 600, 1_800);
  private static final List<Integer> HOMED_GROUP_COUNTS = List.of(0, 1, 3, 6);
  private static final int FIRST_PORT = 10_000;
  private static final int PORTS_PER_GROUP = 3;
  private static final Duration SETTLE = Duration.ofSeconds(10);

  /** The memory of the process with a number of idle connections. */
  record ConnectionPoint(int connections, long heapBytes, long directBytes) {}

  /** The memory and processor time of assembling a number of groups from their documents. */
  record DeclaredPoint(int groups, long documentBytes, long heapBytes, double assemblyCpuMillis) {}

  /**
   * The memory and processor time of the idle process with a number of groups homed at one
   * instance.
   *
   * <p>The stand-ins' processor time covers their sessions, replication and replay; the processor
   * time of their sockets is included only in that of the whole process.
   */
  record HomedPoint(
      int groups,
      double cpuMillisPerSecond,
      double standInCpuMillisPerSecond,
      long heapBytes,
      long directBytes) {}

  /** All points, and the slope between the first and the last point of each list. */
  record Report(
      List<ConnectionPoint> connections,
      double heapBytesPerConnection,
      double directBytesPerConnection,
      List<DeclaredPoint> declared,
      double documentBytesPerGroup,
      double heapBytesPerDeclaredGroup,
      List<HomedPoint> homed,
      double cpuMillisPerSecondPerHomedGroup,
      double standInCpuMillisPerSecondPerHomedGroup,
      double heapBytesPerHomedGroup) {}

  private SlopesBenchmark() {}

  static Report run(BenchOptions options) throws InterruptedException {
    final List<ConnectionPoint> connections = measureConnections();
    final List<DeclaredPoint> declared = new ArrayList<>();
    measureDeclared(DECLARED_GROUP_COUNTS.get(DECLARED_GROUP_COUNTS.size() - 1));
    for (int count : DECLARED_GROUP_COUNTS) {
      declared.add(measureDeclared(count));
    }
    List<HomedPoint> homed = new ArrayList<>();
    measureHomed(HOMED_GROUP_COUNTS.get(HOMED_GROUP_COUNTS.size() - 1), SETTLE);
    for (int count : HOMED_GROUP_COUNTS) {
      homed.add(measureHomed(count, Duration.ofSeconds(options.seconds())));
    }
    ConnectionPoint c0 = connections.get(0);
    ConnectionPoint c1 = connections.get(connections.size() - 1);
    DeclaredPoint d1 = declared.get(declared.size() - 1);
    HomedPoint h0 = homed.get(0);
    HomedPoint h1 = homed.get(homed.size() - 1);
    int homedMore = h1.groups() - h0.groups();
    return new Report(
        connections,
        slope(c0.heapBytes(), c1.heapBytes(), c1.connections()),
        slope(c0.directBytes(), c1.directBytes(), c1.connections()),
        declared,
        slope(0, d1.documentBytes(), d1.groups()),
        slope(declared.get(0).heapBytes(), d1.heapBytes(), d1.groups()),
        homed,
        (h1.cpuMillisPerSecond() - h0.cpuMillisPerSecond()) / homedMore,
        (h1.standInCpuMillisPerSecond() - h0.standInCpuMillisPerSecond()) / homedMore,
        slope(h0.heapBytes(), h1.heapBytes(), homedMore));
  }

  private static double slope(long first, long last, int count) {
    return (double) (last - first) / count;
  }

  private static List<ConnectionPoint> measureConnections() throws InterruptedException {
    List<ConnectionPoint> points = new ArrayList<>();
    try (BenchFleet fleet = BenchFleet.start(1);
        IdleConnections idle = new IdleConnections()) {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), fleet.entries().get(0).getPort());
      idle.growTo(address, 1);
      for (int count : CONNECTION_COUNTS) {
        idle.growTo(address, count);
        points.add(
            new ConnectionPoint(count, ProcessUsage.heapBytes(), ProcessUsage.directBytes()));
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return points;
  }

  private static DeclaredPoint measureDeclared(int count) throws InterruptedException {
    final long before = ProcessUsage.heapBytes();
    List<String> documents = documents(count);
    final long bytes =
        documents.stream().mapToLong(d -> d.getBytes(StandardCharsets.UTF_8).length).sum();
    long cpu = ProcessUsage.cpuNanos();
    final LenientAssembly assembly = DeclarationReader.assembleLenient(1, documents);
    final double millis = (ProcessUsage.cpuNanos() - cpu) / 1e6;
    documents = List.of();
    final long heap = ProcessUsage.heapBytes() - before;
    int groups = assembly.declarations().groups().size() + documents.size();
    if (groups != count) {
      throw new IllegalStateException(
          "expected " + count + " groups, but " + groups + " were assembled");
    }
    return new DeclaredPoint(groups, bytes, heap, millis);
  }

  private static List<String> documents(int count) {
    return groupDocuments(count).stream().map(JsonObject::toString).toList();
  }

  private static HomedPoint measureHomed(int count, Duration length) throws InterruptedException {
    List<JsonObject> others = ExampleDocuments.read().stream().filter(d -> !isGroup(d)).toList();
    List<JsonObject> documents =
        Stream.concat(others.stream(), groupDocuments(count).stream()).toList();
    try (StandInFleet fleet =
            StandInFleet.builder(documents).schema(SessionSchema.STATEMENTS).start();
        EmbeddedInstances instances = EmbeddedInstances.start(fleet, 1)) {
      sleep(SETTLE);
      final long heap = ProcessUsage.heapBytes();
      final long direct = ProcessUsage.directBytes();
      final long standIns = ProcessUsage.standInCpuNanos();
      long cpu = ProcessUsage.cpuNanos();
      long start = System.nanoTime();
      sleep(length);
      double seconds = (System.nanoTime() - start) / 1e9;
      double millis = (ProcessUsage.cpuNanos() - cpu) / 1e6 / seconds;
      double standInMillis = (ProcessUsage.standInCpuNanos() - standIns) / 1e6 / seconds;
      if (instances.all().size() != 1) {
        throw new IllegalStateException("the fleet does not have exactly one instance");
      }
      return new HomedPoint(count, millis, standInMillis, heap, direct);
    }
  }

  /** Returns {@code count} copies of an example group with distinct names and ports. */
  private static List<JsonObject> groupDocuments(int count) {
    JsonObject example =
        ExampleDocuments.read().stream().filter(SlopesBenchmark::isGroup).findFirst().orElseThrow();
    List<JsonObject> documents = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      documents.add(copy(example, i));
    }
    return documents;
  }

  private static JsonObject copy(JsonObject example, int index) {
    JsonObject copy = example.deepCopy();
    String name = "group-" + index;
    copy.getAsJsonObject("metadata").addProperty("name", name);
    JsonObject spec = copy.getAsJsonObject("spec");
    JsonArray servers = spec.getAsJsonArray("servers");
    for (int i = 0; i < servers.size(); i++) {
      JsonObject server = servers.get(i).getAsJsonObject();
      server.addProperty("name", name + "-" + i);
      server.addProperty("port", FIRST_PORT + index * PORTS_PER_GROUP + i);
    }
    spec.addProperty("initialPrimary", name + "-0");
    return copy;
  }

  private static boolean isGroup(JsonObject document) {
    return document.get("kind").getAsString().equals("DatabaseGroup");
  }

  private static void sleep(Duration duration) throws InterruptedException {
    TimeUnit.NANOSECONDS.sleep(duration.toNanos());
  }
}

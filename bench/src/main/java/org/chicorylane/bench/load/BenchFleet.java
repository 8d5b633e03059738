package org.chicorylane.bench.load;

import com.google.gson.JsonObject;
import java.net.URI;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.chicorylane.bench.demo.CallerClient;
import org.chicorylane.bench.demo.Reply;
import org.chicorylane.bench.demo.SessionSchema;
import org.chicorylane.bench.fleet.EmbeddedInstances;
import org.chicorylane.bench.fleet.ExampleDocuments;
import org.chicorylane.bench.fleet.StandInFleet;
import org.chicorylane.standin.database.StandInGroup;

/** One stand-in database group with embedded instances, ready for load. Thread-safe. */
final class BenchFleet implements AutoCloseable {
  static final String GROUP = "plans";
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration READY_RETRY_DELAY = Duration.ofMillis(100);

  private final StandInFleet fleet;
  private final EmbeddedInstances instances;
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private BenchFleet(StandInFleet fleet, EmbeddedInstances instances) {
    this.fleet = fleet;
    this.instances = instances;
  }

  /** Starts the group and the instances and waits until a write is acknowledged. */
  static BenchFleet start(int instances) throws InterruptedException {
    StandInFleet fleet =
        StandInFleet.builder(documentsWithOneGroup()).schema(SessionSchema.STATEMENTS).start();
    BenchFleet started = new BenchFleet(fleet, EmbeddedInstances.start(fleet, instances));
    started.awaitWrites();
    return started;
  }

  StandInGroup group() {
    StandInGroup group = fleet.groups().get(GROUP);
    if (group == null) {
      throw new IllegalStateException("the example declares no group \"" + GROUP + "\"");
    }
    return group;
  }

  /** Returns the example documents without the groups other than {@link #GROUP}. */
  private static List<JsonObject> documentsWithOneGroup() {
    return ExampleDocuments.read().stream()
        .flatMap(d -> isOtherGroup(d) ? Stream.empty() : Stream.of(d))
        .toList();
  }

  private static boolean isOtherGroup(JsonObject document) {
    return document.get("kind").getAsString().equals("DatabaseGroup")
        && !document.getAsJsonObject("metadata").get("name").getAsString().equals(GROUP);
  }

  /** Returns a new session that sends each request to a random instance. */
  CallerClient caller() {
    return new CallerClient(http, instances.entries());
  }

  List<URI> entries() {
    return instances.entries();
  }

  @Override
  public void close() {
    instances.close();
    fleet.close();
  }

  private void awaitWrites() throws InterruptedException {
    CallerClient caller = caller();
    long deadline = System.nanoTime() + READY_TIMEOUT.toNanos();
    Reply reply = writeReadinessCheck(caller);
    while (reply.outcome() != Reply.Outcome.COMPLETED) {
      if (System.nanoTime() > deadline) {
        throw new IllegalStateException(
            "no write was acknowledged within " + READY_TIMEOUT + ": " + reply);
      }
      TimeUnit.NANOSECONDS.sleep(READY_RETRY_DELAY.toNanos());
      reply = writeReadinessCheck(caller);
    }
  }

  private static Reply writeReadinessCheck(CallerClient caller) {
    return caller.write(
        GROUP, "check-in", SessionSchema.CHECK_IN, List.of("ready", 0), "bench-ready");
  }
}

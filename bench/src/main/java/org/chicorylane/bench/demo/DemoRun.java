package org.chicorylane.bench.demo;

import java.io.PrintStream;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.chicorylane.bench.fleet.EmbeddedInstances;
import org.chicorylane.bench.fleet.ExampleDocuments;
import org.chicorylane.bench.fleet.StandInFleet;
import org.chicorylane.standin.database.StandInGroup;
import org.chicorylane.standin.database.StandInServer;
import org.jspecify.annotations.Nullable;

/** One run of the demo: sessions roam over instances, a primary may be killed, an audit ends it. */
final class DemoRun implements SessionLoop.WriteListener {
  private static final int SESSIONS_PER_GROUP = 10;
  private static final Duration PAUSE = Duration.ofMillis(10);
  private static final Duration SETTLE_LIMIT = Duration.ofSeconds(30);
  private static final double MICROS_PER_MILLI = 1000.0;

  private final DemoOptions options;
  private final PrintStream out;
  private final Told told = new Told();
  private final AtomicBoolean stop = new AtomicBoolean();
  private final AtomicLong killedAt = new AtomicLong();
  private final AtomicLong landedAt = new AtomicLong();
  private volatile String killedGroup = "";

  DemoRun(DemoOptions options, PrintStream out) {
    this.options = options;
    this.out = out;
  }

  DemoSummary run() throws InterruptedException {
    try (StandInFleet fleet =
            StandInFleet.builder(ExampleDocuments.read()).schema(SessionSchema.STATEMENTS).start();
        EmbeddedInstances instances = EmbeddedInstances.start(fleet, options.instances())) {
      out.println(options.instances() + " instances before " + fleet.groups().keySet() + " are up");
      List<Thread> sessions = startSessions(fleet, instances);
      drive(fleet);
      stop.set(true);
      for (Thread t : sessions) {
        t.join(SETTLE_LIMIT.toMillis());
      }
      return summary(fleet);
    }
  }

  @Override
  public void onAcknowledged(String group, long sentNanos, long answeredNanos) {
    long killed = killedAt.get();
    if (killed != 0 && group.equals(killedGroup) && sentNanos > killed) {
      landedAt.compareAndSet(0, answeredNanos);
    }
  }

  private List<Thread> startSessions(StandInFleet fleet, EmbeddedInstances instances) {
    HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    List<Thread> threads = new ArrayList<>();
    for (String group : fleet.groups().keySet()) {
      for (int i = 0; i < SESSIONS_PER_GROUP; i++) {
        CallerClient caller = new CallerClient(http, instances.entries());
        SessionLoop loop =
            new SessionLoop(group, i, caller, told, options.seed() + i, PAUSE, stop, this);
        Thread t = new Thread(loop, "session-" + group + "-" + i);
        t.setDaemon(true);
        t.start();
        threads.add(t);
      }
    }
    return threads;
  }

  private void drive(StandInFleet fleet) throws InterruptedException {
    for (int second = 1; second <= options.seconds(); second++) {
      TimeUnit.SECONDS.sleep(1);
      if (options.killPrimary() && second == Math.max(1, options.seconds() / 3)) {
        killPrimary(fleet);
      }
      out.printf(
          Locale.ROOT,
          "%3d s  %,7d statements  %,6d writes acknowledged  %5.1f %% of reads from replicas%n",
          second,
          told.statements(),
          told.acknowledgedCount(),
          100 * replicaShare());
    }
  }

  private void killPrimary(StandInFleet fleet) {
    StandInGroup group = fleet.groups().values().iterator().next();
    StandInServer primary = group.newestPrimary();
    if (primary == null) {
      return;
    }
    out.println("       killing " + primary + ", the primary of " + group.name());
    killedGroup = group.name();
    primary.kill();
    killedAt.set(System.nanoTime());
  }

  private DemoSummary summary(StandInFleet fleet) {
    Auditor.Findings findings = new Auditor.Findings(0, 0, 0);
    for (StandInGroup group : fleet.groups().values()) {
      findings = findings.plus(Auditor.audit(group, told));
    }
    told.violations().stream().limit(10).forEach(v -> out.println("       " + v));
    return new DemoSummary(
        told.statements(),
        told.reads(),
        replicaShare(),
        told.acknowledgedCount(),
        told.unresolvedCount(),
        findings.lost(),
        findings.doubled(),
        told.staleReads(),
        told.mixedAnswers(),
        findings.notRunButRan(),
        gapMillis(),
        told.latency().getValueAtPercentile(50) / MICROS_PER_MILLI,
        told.latency().getValueAtPercentile(99) / MICROS_PER_MILLI);
  }

  private @Nullable Long gapMillis() {
    if (killedAt.get() == 0) {
      return null;
    }
    long landed = landedAt.get() == 0 ? System.nanoTime() : landedAt.get();
    return TimeUnit.NANOSECONDS.toMillis(landed - killedAt.get());
  }

  private double replicaShare() {
    return told.reads() == 0 ? 0 : (double) told.replicaReads() / told.reads();
  }
}

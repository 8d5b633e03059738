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

/**
 * One run of the demo: drives sessions against embedded instances, kills a primary if requested,
 * and audits the stand-ins' logs at the end.
 */
final class DemoRun implements SessionLoop.WriteListener {
  private static final int SESSIONS_PER_GROUP = 10;
  private static final Duration REQUEST_PAUSE = Duration.ofMillis(10);
  private static final Duration SESSION_JOIN_TIMEOUT = Duration.ofSeconds(30);
  private static final double MICROS_PER_MILLI = 1000.0;

  private final DemoOptions options;
  private final PrintStream out;
  private final AnswerRecorder recorder = new AnswerRecorder();
  private final AtomicBoolean stop = new AtomicBoolean();
  private final AtomicLong killedAtNanos = new AtomicLong();
  private final AtomicLong firstWriteAtNanos = new AtomicLong();
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
      superviseSessions(fleet);
      stop.set(true);
      for (Thread t : sessions) {
        t.join(SESSION_JOIN_TIMEOUT.toMillis());
      }
      return summary(fleet);
    }
  }

  @Override
  public void onAcknowledged(String group, long sentNanos, long answeredNanos) {
    long killedNanos = killedAtNanos.get();
    if (killedNanos != 0 && group.equals(killedGroup) && sentNanos > killedNanos) {
      firstWriteAtNanos.compareAndSet(0, answeredNanos);
    }
  }

  private List<Thread> startSessions(StandInFleet fleet, EmbeddedInstances instances) {
    HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    List<Thread> threads = new ArrayList<>();
    for (String group : fleet.groups().keySet()) {
      for (int i = 0; i < SESSIONS_PER_GROUP; i++) {
        CallerClient caller = new CallerClient(http, instances.entries());
        SessionLoop loop =
            new SessionLoop(
                group, i, caller, recorder, options.seed() + i, REQUEST_PAUSE, stop, this);
        Thread t = new Thread(loop, "session-" + group + "-" + i);
        t.setDaemon(true);
        t.start();
        threads.add(t);
      }
    }
    return threads;
  }

  private void superviseSessions(StandInFleet fleet) throws InterruptedException {
    for (int second = 1; second <= options.seconds(); second++) {
      TimeUnit.SECONDS.sleep(1);
      if (options.killPrimary() && second == Math.max(1, options.seconds() / 3)) {
        killPrimary(fleet);
      }
      out.printf(
          Locale.ROOT,
          "%3d s  %,7d statements  %,6d writes acknowledged  %5.1f %% of reads from replicas%n",
          second,
          recorder.statements(),
          recorder.acknowledgedCount(),
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
    killedAtNanos.set(System.nanoTime());
  }

  private DemoSummary summary(StandInFleet fleet) {
    Auditor.Findings findings = new Auditor.Findings(0, 0, 0);
    for (StandInGroup group : fleet.groups().values()) {
      findings = findings.plus(Auditor.audit(group, recorder));
    }
    recorder.violations().stream().limit(10).forEach(v -> out.println("       " + v));
    return new DemoSummary(
        recorder.statements(),
        recorder.reads(),
        replicaShare(),
        recorder.acknowledgedCount(),
        recorder.unresolvedCount(),
        findings.lost(),
        findings.doubled(),
        recorder.staleReads(),
        recorder.mixedAnswers(),
        findings.notRunButRan(),
        failoverGapMillis(),
        recorder.latency().getValueAtPercentile(50) / MICROS_PER_MILLI,
        recorder.latency().getValueAtPercentile(99) / MICROS_PER_MILLI);
  }

  /**
   * Returns the time from the kill to the first acknowledged write that was sent after it, or to
   * now if there is none; null if no primary was killed.
   */
  private @Nullable Long failoverGapMillis() {
    if (killedAtNanos.get() == 0) {
      return null;
    }
    long firstWrite = firstWriteAtNanos.get() == 0 ? System.nanoTime() : firstWriteAtNanos.get();
    return TimeUnit.NANOSECONDS.toMillis(firstWrite - killedAtNanos.get());
  }

  private double replicaShare() {
    return recorder.reads() == 0 ? 0 : (double) recorder.replicaReads() / recorder.reads();
  }
}

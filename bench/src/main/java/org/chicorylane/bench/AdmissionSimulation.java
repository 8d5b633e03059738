package org.chicorylane.bench;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.chicorylane.internal.admission.AdmissionAction;
import org.chicorylane.internal.admission.ServiceOutcome;
import org.chicorylane.internal.admission.Ticket;

/**
 * A seeded discrete-event simulation of three servers with three slots each: check-ins and uploads
 * to the primary at a steady rate, and browsing with a burst between seconds 5 and 15 of 25.
 *
 * <p>A refused caller comes back once when it was told to. Not thread-safe; runs once.
 */
final class AdmissionSimulation {
  private static final Instant END = Instant.EPOCH.plusSeconds(25);
  private static final Instant MEASURE_FROM = Instant.EPOCH.plusSeconds(5);
  private static final Instant MEASURE_TO = Instant.EPOCH.plusSeconds(15);
  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(5);
  private static final String DEGRADED_SERVER = "b";
  private static final int MAX_TRIES = 2;

  /**
   * The extra load.
   *
   * @param times browsing beyond the usual, as a multiple of what all slots could serve
   * @param degraded whether one replica meanwhile serves more than one request only with a loss
   */
  record Burst(int times, boolean degraded) {}

  /** What one class felt during the burst. Latency counts from the first try. */
  record ClassResult(
      String name,
      long offered,
      long inTime,
      Duration latencyMedian,
      Duration latency99,
      long refused,
      Duration refusalMedian,
      Duration refusal99) {}

  /** What all classes felt. */
  record Result(List<ClassResult> classes) {}

  private enum Load {
    CHECK_IN("check-in", true, 100, 6, 1_000),
    UPLOAD("upload", true, 50, 10, 2_000),
    BROWSE("browse", false, 200, 8, 1_000);

    private final String className;
    private final boolean needsPrimary;
    private final double perSecond;
    private final double serviceMillis;
    private final long deadlineMillis;

    Load(
        String className,
        boolean needsPrimary,
        double perSecond,
        double serviceMillis,
        long deadlineMillis) {
      this.className = className;
      this.needsPrimary = needsPrimary;
      this.perSecond = perSecond;
      this.serviceMillis = serviceMillis;
      this.deadlineMillis = deadlineMillis;
    }
  }

  private static final class Caller {
    private final Load load;
    private final Instant first;
    private final Instant offered;
    private final int tries;

    private Caller(Load load, Instant first, Instant offered, int tries) {
      this.load = load;
      this.first = first;
      this.offered = offered;
      this.tries = tries;
    }
  }

  private static final class Tally {
    private final Histogram latency = new Histogram(3);
    private final Histogram refusal = new Histogram(3);
    private long offered;
    private long inTime;
  }

  private final VirtualTime time = new VirtualTime();
  private final SimulatedQueue queue;
  private final Burst burst;
  private final Random arrivals;
  private final Random services;
  private final Map<String, Caller> callers = new HashMap<>();
  private final Map<String, Integer> inUse = new HashMap<>();
  private final Map<Load, Tally> tallies = new HashMap<>();
  private long nextId;

  AdmissionSimulation(SimulatedQueue queue, Burst burst, long seed) {
    this.queue = queue;
    this.burst = burst;
    this.arrivals = new Random(seed);
    this.services = new Random(seed + 1_000);
  }

  Result run() {
    for (Load load : Load.values()) {
      tallies.put(load, new Tally());
      time.after(Durations.between(arrivals, load.perSecond), () -> arrive(load));
    }
    time.after(SWEEP_INTERVAL, this::sweep);
    time.runUntil(END);
    List<ClassResult> results = new ArrayList<>();
    for (Load load : Load.values()) {
      results.add(result(load, tally(load)));
    }
    return new Result(results);
  }

  private static ClassResult result(Load load, Tally t) {
    return new ClassResult(
        load.className,
        t.offered,
        t.inTime,
        percentile(t.latency, 50),
        percentile(t.latency, 99),
        t.refusal.getTotalCount(),
        percentile(t.refusal, 50),
        percentile(t.refusal, 99));
  }

  private static Duration percentile(Histogram h, double p) {
    return Duration.ofNanos(h.getValueAtPercentile(p) * 1_000);
  }

  private boolean isBurst() {
    return !time.now().isBefore(MEASURE_FROM) && time.now().isBefore(MEASURE_TO);
  }

  private void arrive(Load load) {
    offer(new Caller(load, time.now(), time.now(), 1));
    double rate = load.perSecond;
    if (load == Load.BROWSE && isBurst()) {
      double capacity = 3 * SimulatedQueue.SLOTS / (load.serviceMillis / 1_000);
      rate += burst.times() * capacity;
    }
    time.after(Durations.between(arrivals, rate), () -> arrive(load));
  }

  private void offer(Caller caller) {
    if (caller.tries == 1 && isBurst()) {
      tally(caller.load).offered++;
    }
    String id = "t" + nextId++;
    callers.put(id, caller);
    Load load = caller.load;
    Instant deadline = time.now().plusMillis(load.deadlineMillis);
    perform(
        queue.offered(
            new Ticket(id, load.className, load.needsPrimary, false, deadline), time.now()));
  }

  private void sweep() {
    perform(queue.tick(time.now()));
    time.after(SWEEP_INTERVAL, this::sweep);
  }

  private void perform(List<AdmissionAction> actions) {
    for (AdmissionAction action : actions) {
      if (action instanceof AdmissionAction.Dispatch dispatch) {
        start(dispatch.ticket(), dispatch.server());
      } else if (action instanceof AdmissionAction.Refuse refuse) {
        refused(refuse);
      }
    }
  }

  private void start(Ticket ticket, String server) {
    int running = inUse.merge(server, 1, Integer::sum);
    if (running > SimulatedQueue.SLOTS) {
      throw new IllegalStateException(running + " requests run on server \"" + server + "\"");
    }
    boolean slow = burst.degraded() && isBurst() && server.equals(DEGRADED_SERVER) && running > 1;
    Load load = requireNonNull(callers.get(ticket.id())).load;
    double mean = slow ? load.serviceMillis * 2 * running : load.serviceMillis;
    Duration service = Durations.service(services, mean);
    ServiceOutcome outcome = slow && running > 2 ? ServiceOutcome.OVERLOAD : ServiceOutcome.OK;
    time.after(service, () -> finish(ticket, server, service, outcome));
  }

  private void finish(Ticket ticket, String server, Duration service, ServiceOutcome outcome) {
    inUse.merge(server, -1, Integer::sum);
    Caller caller = requireNonNull(callers.remove(ticket.id()));
    Tally tally = tally(caller.load);
    if (isMeasured(caller)) {
      tally.latency.recordValue(Duration.between(caller.first, time.now()).toNanos() / 1_000);
      tally.inTime += time.now().isAfter(ticket.deadline()) ? 0 : 1;
    }
    perform(queue.freed(ticket, service, outcome, time.now()));
  }

  private void refused(AdmissionAction.Refuse refuse) {
    Caller caller = requireNonNull(callers.remove(refuse.ticket().id()));
    if (isMeasured(caller)) {
      Duration held = Duration.between(caller.offered, time.now());
      tally(caller.load).refusal.recordValue(held.toNanos() / 1_000);
    }
    if (caller.tries < MAX_TRIES) {
      Instant next = time.now().plus(refuse.retryAfter());
      time.at(next, () -> offer(new Caller(caller.load, caller.first, next, caller.tries + 1)));
    }
  }

  private Tally tally(Load load) {
    return requireNonNull(tallies.get(load));
  }

  private static boolean isMeasured(Caller caller) {
    return !caller.first.isBefore(MEASURE_FROM) && caller.first.isBefore(MEASURE_TO);
  }
}

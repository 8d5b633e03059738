package org.chicorylane.internal.report;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.declaration.Objective;
import org.chicorylane.internal.outcome.Outcome;

/**
 * Counts the requests of this instance's callers against the declared service-level objectives.
 *
 * <pre>{@code
 * ServiceLevels levels = new ServiceLevels("entry-1", clock.instant());
 * levels.recordRequest(declarations, "billing", outcome, elapsed, clock.instant());
 * BurnReport report = levels.report(declarations, clock.instant());
 * }</pre>
 *
 * <p>Thread-safe through one lock, which each request holds for a few array writes. Memory is
 * bounded: about 30 kB for each declared objective and each declared group, and {@value #MAX_GAPS}
 * failover gaps. Counts of objectives and groups that are no longer declared are removed. Counts
 * are kept in memory only and are lost when the instance stops.
 */
public final class ServiceLevels {
  private static final int MAX_GAPS = 256;
  private static final List<Duration> BURN_WINDOWS =
      List.of(
          Duration.ofMinutes(5),
          Duration.ofMinutes(30),
          Duration.ofHours(1),
          Duration.ofHours(6),
          CountHistory.LONGEST_WINDOW);
  private static final List<Duration> READ_WINDOWS =
      List.of(Duration.ofHours(1), CountHistory.LONGEST_WINDOW);

  private final Object lock = new Object();
  private final String instance;
  private final Instant since;
  private final Map<ObjectiveKey, CountHistory> requests = new HashMap<>();
  private final Map<String, CountHistory> reads = new TreeMap<>();
  private final Map<String, Instant> openGaps = new TreeMap<>();
  private final Deque<FailoverGap> closedGaps = new ArrayDeque<>();

  /**
   * Creates empty counters.
   *
   * @param instance the name of this instance in reports
   * @param now the time from which requests are counted
   */
  public ServiceLevels(String instance, Instant now) {
    this.instance = instance;
    this.since = now;
  }

  /**
   * Counts a request against each objective of its class.
   *
   * @param declarations the declarations in force
   * @param requestClass the request's class
   * @param elapsed the time from submission to outcome
   */
  public void recordRequest(
      Declarations declarations,
      String requestClass,
      Outcome outcome,
      Duration elapsed,
      Instant now) {
    synchronized (lock) {
      for (Objective objective : declarations.objectives().values()) {
        if (objective.requestClass().equals(requestClass)) {
          record(declarations, objective, outcome, elapsed, now);
        }
      }
    }
  }

  /** Counts a read that a backend server served. Ignores undeclared groups. */
  public void recordRead(
      Declarations declarations, String group, boolean fromReplica, Instant now) {
    if (!declarations.groups().containsKey(group)) {
      return;
    }
    synchronized (lock) {
      reads.keySet().retainAll(declarations.groups().keySet());
      reads.computeIfAbsent(group, g -> new CountHistory()).add(fromReplica, now);
    }
  }

  /**
   * Opens a failover gap because writes to the group have stopped. Does nothing if one is open, or
   * if the group is not declared.
   */
  public void openFailoverGap(Declarations declarations, String group, Instant now) {
    if (!declarations.groups().containsKey(group)) {
      return;
    }
    synchronized (lock) {
      openGaps.keySet().retainAll(declarations.groups().keySet());
      openGaps.putIfAbsent(group, now);
    }
  }

  /**
   * Closes the failover gap, if one is open, because a write was committed.
   *
   * @param submitted when the write was submitted; a write submitted before the gap does not close
   *     it, because the lost primary may have committed it
   */
  public void closeFailoverGap(String group, Instant submitted, Instant now) {
    synchronized (lock) {
      Instant start = openGaps.get(group);
      if (start == null || submitted.isBefore(start)) {
        return;
      }
      openGaps.remove(group);
      closedGaps.addLast(new FailoverGap(group, start, now));
      if (closedGaps.size() > MAX_GAPS) {
        closedGaps.removeFirst();
      }
    }
  }

  /** Returns a report on all declared objectives, the failover gaps and the reads of each group. */
  public BurnReport report(Declarations declarations, Instant now) {
    synchronized (lock) {
      List<ObjectiveBurn> objectives =
          declarations.objectives().values().stream()
              .sorted(Comparator.comparing(Objective::name))
              .map(o -> toBurn(o, now))
              .toList();
      return new BurnReport(
          now,
          List.of(new InstanceCoverage(instance, since)),
          objectives,
          gapsAt(now),
          readsAt(now));
    }
  }

  private void record(
      Declarations declarations,
      Objective objective,
      Outcome outcome,
      Duration elapsed,
      Instant now) {
    ObjectiveResult result = ObjectiveResult.of(outcome, elapsed, objective.latency());
    if (result == ObjectiveResult.NOT_COUNTED) {
      return;
    }
    CountHistory history = requests.get(ObjectiveKey.of(objective));
    if (history == null) {
      requests
          .keySet()
          .retainAll(declarations.objectives().values().stream().map(ObjectiveKey::of).toList());
      history = new CountHistory();
      requests.put(ObjectiveKey.of(objective), history);
    }
    history.add(result == ObjectiveResult.GOOD, now);
  }

  private ObjectiveBurn toBurn(Objective objective, Instant now) {
    CountHistory history = requests.getOrDefault(ObjectiveKey.of(objective), new CountHistory());
    Duration budgetWindow = shorter(objective.window(), CountHistory.LONGEST_WINDOW);
    Counts budget = history.sum(budgetWindow, now);
    List<WindowBurn> windows =
        BURN_WINDOWS.stream()
            .map(w -> WindowBurn.of(w, history.sum(w, now), objective.target()))
            .toList();
    return new ObjectiveBurn(
        objective.name(),
        objective.requestClass(),
        objective.target(),
        objective.latency(),
        objective.window(),
        budgetWindow,
        budget,
        ObjectiveBurn.budgetLeft(budget, objective.target()),
        AlertLevel.of(windows),
        windows,
        history.lastHour(now),
        history.lastDays(now));
  }

  private List<FailoverGap> gapsAt(Instant now) {
    Instant oldest = now.minus(CountHistory.LONGEST_WINDOW);
    List<FailoverGap> gaps = new ArrayList<>();
    closedGaps.stream().filter(g -> g.end() != null && g.end().isAfter(oldest)).forEach(gaps::add);
    openGaps.forEach((group, start) -> gaps.add(new FailoverGap(group, start, null)));
    gaps.sort(Comparator.comparing(FailoverGap::start));
    return gaps;
  }

  private List<GroupReads> readsAt(Instant now) {
    List<GroupReads> all = new ArrayList<>();
    reads.forEach(
        (group, history) -> {
          for (Duration window : READ_WINDOWS) {
            Counts counts = history.sum(window, now);
            all.add(new GroupReads(group, window, counts.good(), counts.bad()));
          }
        });
    return all;
  }

  private static Duration shorter(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }

  /** The parts of an objective that, when changed, make its earlier counts invalid. */
  private record ObjectiveKey(String name, String requestClass, Duration latency) {
    static ObjectiveKey of(Objective objective) {
      return new ObjectiveKey(objective.name(), objective.requestClass(), objective.latency());
    }
  }
}

package org.chicorylane.internal.report;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;

/**
 * The state of one objective.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the objective's name
 * @param requestClass the class that it speaks of
 * @param target the share of requests that must be good, between 0 and 1 exclusive
 * @param latency a good request is answered within this time
 * @param declaredWindow the objective's window as declared
 * @param budgetWindow the window that {@code budget} covers: the declared one, but no longer than
 *     the history
 * @param budget the requests in that window
 * @param budgetLeft 1 when nothing is spent, 0 when all is, negative beyond
 * @param alert the most urgent alert level that fires
 * @param windows the burn rates, shortest window first
 * @param lastHour the last hour by minutes
 * @param lastDays the last three days by hours
 */
public record ObjectiveBurn(
    String name,
    String requestClass,
    double target,
    Duration latency,
    Duration declaredWindow,
    Duration budgetWindow,
    Counts budget,
    double budgetLeft,
    AlertLevel alert,
    List<WindowBurn> windows,
    Timeline lastHour,
    Timeline lastDays) {

  /** Copies the windows and checks the target. */
  public ObjectiveBurn {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(requestClass, "requestClass");
    Objects.requireNonNull(latency, "latency");
    Objects.requireNonNull(declaredWindow, "declaredWindow");
    Objects.requireNonNull(budgetWindow, "budgetWindow");
    Objects.requireNonNull(budget, "budget");
    Objects.requireNonNull(alert, "alert");
    Objects.requireNonNull(lastHour, "lastHour");
    Objects.requireNonNull(lastDays, "lastDays");
    windows = List.copyOf(windows);
    if (!(target > 0 && target < 1)) {
      throw new IllegalArgumentException(
          "target of objective \"" + name + "\" is not between 0 and 1: " + target);
    }
  }

  /** Returns whether counts of both may be added: they count the same requests the same way. */
  boolean isMergeable(ObjectiveBurn other) {
    return name.equals(other.name)
        && requestClass.equals(other.requestClass)
        && target == other.target
        && latency.equals(other.latency)
        && declaredWindow.equals(other.declaredWindow)
        && budgetWindow.equals(other.budgetWindow)
        && lastHour.step().equals(other.lastHour.step())
        && lastDays.step().equals(other.lastDays.step())
        && windows.stream()
            .map(WindowBurn::window)
            .toList()
            .equals(other.windows.stream().map(WindowBurn::window).toList());
  }

  /** Returns the sum of two {@linkplain #isMergeable mergeable} states. */
  ObjectiveBurn merge(ObjectiveBurn other) {
    Counts total = budget.plus(other.budget);
    List<WindowBurn> sums =
        IntStream.range(0, windows.size())
            .mapToObj(i -> mergeWindow(windows.get(i), other.windows.get(i)))
            .toList();
    return new ObjectiveBurn(
        name,
        requestClass,
        target,
        latency,
        declaredWindow,
        budgetWindow,
        total,
        budgetLeft(total, target),
        AlertLevel.of(sums),
        sums,
        lastHour.merge(other.lastHour),
        lastDays.merge(other.lastDays));
  }

  static double budgetLeft(Counts counts, double target) {
    return 1 - counts.burnRate(target);
  }

  private WindowBurn mergeWindow(WindowBurn a, WindowBurn b) {
    return WindowBurn.of(a.window(), a.counts().plus(b.counts()), target);
  }
}

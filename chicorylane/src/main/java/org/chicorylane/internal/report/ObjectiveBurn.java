package org.chicorylane.internal.report;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;

/**
 * The state of the error budget of one objective.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the objective's name
 * @param requestClass the request class that the objective covers
 * @param target the share of requests that must be good, between 0 and 1 exclusive
 * @param latency the longest time in which a good request is answered
 * @param declaredWindow the declared window of the objective
 * @param budgetWindow the window that {@code budget} covers: the declared one, limited to the
 *     length of the history
 * @param budget the requests in {@code budgetWindow}
 * @param budgetLeft the share of the budget that is left: 1 if nothing is spent, 0 if all is spent,
 *     negative if overspent
 * @param alert the most urgent alert level that fires
 * @param windows the burn rates, shortest window first
 * @param lastHour the last hour in steps of a minute
 * @param lastDays the last three days in steps of an hour
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

  /** Copies the windows and checks that nothing is null and the target is valid. */
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
          "target of objective \"" + name + "\" must be between 0 and 1, exclusive: " + target);
    }
  }

  /** Returns whether the counts of both can be added because both have the same declaration. */
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

  /** Returns the share of the error budget that is left; negative if it is overspent. */
  static double budgetLeft(Counts counts, double target) {
    return 1 - counts.burnRate(target);
  }

  private WindowBurn mergeWindow(WindowBurn a, WindowBurn b) {
    return WindowBurn.of(a.window(), a.counts().plus(b.counts()), target);
  }
}

package org.chicorylane.internal.report;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.declaration.Objective;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;

/** Declarations, outcomes and times shared by the tests of this package. */
final class BurnFixture {
  static final Instant START = Instant.parse("2026-03-01T12:00:00Z");
  static final Duration LATENCY = Duration.ofMillis(200);
  static final Outcome COMPLETED =
      new Outcome.Completed(List.of(), null, false, "liben-1", true, null);
  static final Outcome UNKNOWN = new Outcome.Unknown(Duration.ZERO, "cut");

  private BurnFixture() {}

  static Declarations declarations(String objective, double target) {
    Objective declared = new Objective(objective, "billing", target, LATENCY, Duration.ofDays(1));
    return new Declarations(1, Map.of(), Map.of(), Map.of(), Map.of(objective, declared));
  }

  static Declarations declarationsWithGroup(String name) {
    DatabaseGroup group = new DatabaseGroup(name, "d", "u", "p", "liben-1", List.of());
    return new Declarations(1, Map.of(name, group), Map.of(), Map.of(), Map.of());
  }

  static Outcome notRun(NotRunReason reason) {
    return new Outcome.NotRun(reason, Duration.ZERO, "");
  }

  static void countRequests(
      ServiceLevels levels, Declarations all, int good, int bad, Instant now) {
    for (int i = 0; i < good; i++) {
      levels.recordRequest(all, "billing", COMPLETED, LATENCY, now);
    }
    for (int i = 0; i < bad; i++) {
      levels.recordRequest(all, "billing", UNKNOWN, LATENCY, now);
    }
  }
}

package org.chicorylane.internal.report;

import static com.google.common.truth.Truth.assertThat;
import static org.chicorylane.internal.report.BurnFixture.START;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.RequestKind;
import org.junit.jupiter.api.Test;

/**
 * Guards against measured requests that are missing from the metrics page or from the objectives,
 * and against undeclared request classes that add metrics of their own.
 */
final class MetricsPageTest {
  private final MetricRegistry registry = new MetricRegistry();
  private final ServiceLevels levels = new ServiceLevels("entry-1", START);
  private final Declarations declarations = BurnFixture.declarations("billing-fast", 0.99);

  @Test
  void testMeasuredRequestsAppearOnMetricsPage() {
    submit("billing", BurnFixture.notRun(NotRunReason.OVERLOADED));
    String page = new MetricsPage(registry).render();
    assertThat(page).contains("not_run_overloaded_total 1.0");
    assertThat(page).contains("outcomes_undeclared_not_run_total 1.0");
    assertThat(page).contains("requests_undeclared_count 1");
  }

  @Test
  void testMeasuredRequestsCountAgainstObjectiveOfTheirClass() {
    submit("billing", BurnFixture.COMPLETED);
    submit("billing", BurnFixture.UNKNOWN);
    submit("lookup", BurnFixture.UNKNOWN);
    assertThat(levels.report(declarations, START).objectives().get(0).budget())
        .isEqualTo(new Counts(1, 1));
  }

  private void submit(String requestClass, Outcome outcome) {
    GroupRequest request =
        new GroupRequest(
            "r-1",
            "plans",
            RequestKind.READ,
            List.of(),
            requestClass,
            null,
            null,
            null,
            null,
            true,
            null,
            START.plusSeconds(1));
    MeasuredGroupService service =
        new MeasuredGroupService(
            r -> CompletableFuture.completedFuture(outcome),
            levels,
            registry,
            () -> declarations,
            () -> START);
    assertThat(service.submit(request).join()).isSameInstanceAs(outcome);
  }
}

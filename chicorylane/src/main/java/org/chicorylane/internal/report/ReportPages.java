package org.chicorylane.internal.report;

import com.codahale.metrics.MetricRegistry;
import java.time.InstantSource;
import java.util.function.Supplier;
import org.chicorylane.internal.declaration.Declarations;

/**
 * The report pages of one instance, for the operator server to mount.
 *
 * <pre>{@code
 * ReportPages pages = new ReportPages(levels, registry, declarations, clock);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class ReportPages {
  private final ServiceLevels levels;
  private final MetricsPage metrics;
  private final Supplier<Declarations> declarations;
  private final InstantSource clock;

  /** Renders what {@code levels} and {@code metrics} hold at each call. */
  public ReportPages(
      ServiceLevels levels,
      MetricRegistry metrics,
      Supplier<Declarations> declarations,
      InstantSource clock) {
    this.levels = levels;
    this.metrics = new MetricsPage(metrics);
    this.declarations = declarations;
    this.clock = clock;
  }

  /** Returns this instance's report as JSON, for {@code /v1/report/burn}. */
  public String burnJson() {
    return BurnJson.write(report());
  }

  /** Returns this instance's report as a page, for {@code /v1/report/burn.html}; slow. */
  public String burnHtml() {
    return BurnPage.render(report());
  }

  /** Returns the metrics of {@link MetricsPage#CONTENT_TYPE}, for {@code /metrics}. */
  public String metricsText() {
    return metrics.render();
  }

  private BurnReport report() {
    return levels.report(declarations.get(), clock.instant());
  }
}

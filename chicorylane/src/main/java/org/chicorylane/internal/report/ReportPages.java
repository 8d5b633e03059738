package org.chicorylane.internal.report;

import com.codahale.metrics.MetricRegistry;
import java.time.InstantSource;
import java.util.function.Supplier;
import org.chicorylane.internal.declaration.Declarations;

/**
 * Renders the report and metrics pages of one instance, which the operator server serves.
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

  /** Creates pages that show the values of {@code levels} and {@code metrics} at each call. */
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

  /**
   * Returns this instance's report as an HTML page, for {@code /v1/report/burn.html}. Slow, because
   * it draws the plots.
   */
  public String burnHtml() {
    return BurnPage.render(report());
  }

  /** Returns the metrics as {@link MetricsPage#CONTENT_TYPE}, for {@code /metrics}. */
  public String metricsText() {
    return metrics.render();
  }

  private BurnReport report() {
    return levels.report(declarations.get(), clock.instant());
  }
}

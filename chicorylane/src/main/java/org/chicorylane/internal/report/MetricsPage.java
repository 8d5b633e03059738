package org.chicorylane.internal.report;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Renders metrics in the Prometheus text format.
 *
 * <pre>{@code
 * String page = new MetricsPage(registry).render();
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class MetricsPage {
  /** The media type of the page. */
  public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

  private final DropwizardExports exports;
  private final PrometheusTextFormatWriter writer = new PrometheusTextFormatWriter(false);

  /** Creates a page for {@code registry}. Metrics that are registered later are included. */
  public MetricsPage(MetricRegistry registry) {
    exports = new DropwizardExports(registry);
  }

  /** Returns the page with the current values. */
  public String render() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      writer.write(out, exports.collect());
    } catch (IOException e) {
      throw new UncheckedIOException("could not write metrics to a buffer in memory", e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }
}

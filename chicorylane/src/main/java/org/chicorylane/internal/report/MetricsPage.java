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

  /** Renders the metrics of {@code registry}, later ones included. */
  public MetricsPage(MetricRegistry registry) {
    exports = new DropwizardExports(registry);
  }

  /** Returns the page as it is now. */
  public String render() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      writer.write(out, exports.collect());
    } catch (IOException e) {
      throw new UncheckedIOException("a write to memory failed", e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }
}

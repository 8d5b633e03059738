package org.chicorylane.bench.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Plots latency distributions by percentile. Not thread-safe. */
final class LatencyPlot {
  private static final double[] PERCENTILES = {1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9};
  private static final double MICROS_PER_MILLI = 1_000;
  private static final int WIDTH_PIXELS = 900;
  private static final int HEIGHT_PIXELS = 500;

  private final String title;
  private final Map<String, Histogram> series = new LinkedHashMap<>();

  LatencyPlot(String title) {
    this.title = title;
  }

  /** Adds a histogram of microseconds; ignores an empty one. */
  void add(String name, Histogram micros) {
    if (micros.getTotalCount() > 0) {
      series.put(name, micros);
    }
  }

  /** Writes the plot as a PNG file; writes nothing if there is no series. */
  void write(Path file) throws IOException {
    if (series.isEmpty()) {
      return;
    }
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title(title)
            .xAxisTitle("percentile")
            .yAxisTitle("latency, ms")
            .build();
    series.forEach((name, micros) -> chart.addSeries(name, PERCENTILES, values(micros)));
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
  }

  private static double[] values(Histogram micros) {
    double[] values = new double[PERCENTILES.length];
    for (int i = 0; i < values.length; i++) {
      values[i] = micros.getValueAtPercentile(PERCENTILES[i]) / MICROS_PER_MILLI;
    }
    return values;
  }
}

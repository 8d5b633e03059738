package org.chicorylane.internal.report;

import java.awt.Color;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Date;
import java.util.List;
import java.util.TimeZone;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Draws burn rates over time as a PNG image. Stateless and thread-safe; works without a display.
 */
final class BurnChart {
  private static final int WIDTH_PIXELS = 900;
  private static final int HEIGHT_PIXELS = 300;
  private static final Color BURN_COLOR = new Color(0x1f, 0x5f, 0xa8);
  private static final Color LIMIT_COLOR = new Color(0xc0, 0x39, 0x2b);

  static {
    System.setProperty("java.awt.headless", "true");
  }

  private BurnChart() {}

  /**
   * Returns a PNG image of the burn rate in each step, and a line at 1.
   *
   * @param target the objective's target
   * @param timePattern the pattern for times on the axis, as for {@link java.text.SimpleDateFormat}
   */
  static byte[] drawPng(String title, Timeline timeline, double target, String timePattern) {
    List<Date> times = new ArrayList<>();
    List<Double> rates = new ArrayList<>();
    for (int i = 0; i < timeline.points().size(); i++) {
      times.add(Date.from(timeline.timeOf(i)));
      rates.add(timeline.points().get(i).burnRate(target));
    }
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title(title)
            .xAxisTitle("time (UTC)")
            .yAxisTitle("burn rate")
            .build();
    applyStyle(chart, timePattern);
    addLine(chart, "burn rate", times, rates, BURN_COLOR);
    Instant end = timeline.timeOf(timeline.points().size() - 1);
    addLine(
        chart,
        "spends the budget exactly",
        List.of(Date.from(timeline.start()), Date.from(end)),
        List.of(1.0, 1.0),
        LIMIT_COLOR);
    try {
      return BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
    } catch (IOException e) {
      throw new UncheckedIOException("could not encode plot \"" + title + "\" as PNG", e);
    }
  }

  private static void applyStyle(XYChart chart, String timePattern) {
    chart.getStyler().setDatePattern(timePattern);
    chart.getStyler().setTimezone(TimeZone.getTimeZone("UTC"));
    chart.getStyler().setYAxisMin(0.0);
    chart.getStyler().setChartBackgroundColor(Color.WHITE);
    chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideS);
    chart.getStyler().setLegendLayout(Styler.LegendLayout.Horizontal);
    chart.getStyler().setPlotBorderVisible(false);
  }

  private static void addLine(
      XYChart chart, String name, List<Date> times, List<Double> values, Color color) {
    XYSeries series = chart.addSeries(name, times, values);
    series.setMarker(SeriesMarkers.NONE);
    series.setLineColor(color);
  }
}

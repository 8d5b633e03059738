package org.chicorylane.internal.report;

import java.util.Base64;
import java.util.List;

/**
 * Renders a report as a self-contained HTML page.
 *
 * <pre>{@code
 * Files.writeString(file, BurnPage.render(report));
 * }</pre>
 *
 * <p>Stateless and thread-safe. Do not call this on an event loop: drawing takes some tens of
 * milliseconds for each plot.
 */
public final class BurnPage {
  private static final String HEAD =
      """
      <!DOCTYPE html>
      <html lang="en">
      <head>
      <meta charset="utf-8">
      <meta name="viewport" content="width=device-width, initial-scale=1">
      <title>Service-level burn</title>
      <style>
      body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 70em;
             padding: 0 1em; color: #222; background: #fff; }
      .wide { overflow-x: auto; }
      table { border-collapse: collapse; margin: .5em 0 1.5em; font-variant-numeric: tabular-nums; }
      th, td { border-bottom: 1px solid #ccc; padding: .25em .7em; text-align: left;
               white-space: nowrap; }
      img { max-width: 100%; display: block; margin: .5em 0; }
      </style>
      </head>
      <body>
      <h1>Service-level burn</h1>
      """;
  private static final String EXPLANATION =
      """
      <p>An objective allows a share of bad requests: its error budget. The <b>burn rate</b> says
      how many times faster than allowed the budget is being spent: at 1 it lasts exactly for the
      objective's window, at 10 it is gone in a tenth of it. A request is good if the database
      answered it, a refusal included, within the objective's latency. A request that was not run
      for the service's fault, or whose result is unknown, is bad; callers' own mistakes are not
      counted. <b>Alert</b> levels: <i>page fast</i> at 14.4 over 1 h and 5 min, <i>page slow</i>
      at 6 over 6 h and 30 min, <i>ticket</i> at 1 over 3 d and 6 h. <b>Budget left</b> is the
      share of the error budget that is not spent; below zero it is overspent. The last point of a
      plot covers a minute or an hour that is not over yet.</p>
      """;

  private BurnPage() {}

  /** Returns the page. */
  public static String render(BurnReport report) {
    StringBuilder out = new StringBuilder(HEAD);
    appendRange(out, report);
    out.append(EXPLANATION);
    appendTable(out, "Objectives", BurnTable.objectiveRows(report));
    report.objectives().forEach(o -> appendPlots(out, o));
    appendTable(out, "Failover gaps", BurnTable.gapRows(report));
    appendTable(out, "Reads by replica or primary", BurnTable.readRows(report));
    return out.append("</body>\n</html>\n").toString();
  }

  private static void appendRange(StringBuilder out, BurnReport report) {
    out.append("<p>Three days up to ").append(BurnFormatter.time(report.at()));
    out.append(". Each instance counts in memory only, since:</p>\n<ul>\n");
    for (InstanceCoverage coverage : report.instances()) {
      out.append("<li>").append(escape(coverage.instance())).append(": ");
      out.append(BurnFormatter.time(coverage.since())).append("</li>\n");
    }
    out.append("</ul>\n");
  }

  private static void appendPlots(StringBuilder out, ObjectiveBurn objective) {
    out.append("<h3>").append(escape(objective.name())).append("</h3>\n");
    appendPlot(out, objective, "last hour, by minutes", objective.lastHour(), "HH:mm");
    appendPlot(out, objective, "last three days, by hours", objective.lastDays(), "MM-dd HH:mm");
  }

  private static void appendPlot(
      StringBuilder out, ObjectiveBurn objective, String range, Timeline timeline, String pattern) {
    String title = objective.name() + ": burn rate, " + range;
    byte[] png = BurnChart.drawPng(title, timeline, objective.target(), pattern);
    out.append("<img alt=\"").append(escape(title)).append("\" src=\"data:image/png;base64,");
    out.append(Base64.getEncoder().encodeToString(png)).append("\">\n");
  }

  private static void appendTable(StringBuilder out, String title, List<List<String>> rows) {
    out.append("<h2>").append(title).append("</h2>\n");
    if (rows.isEmpty()) {
      out.append("<p>None.</p>\n");
      return;
    }
    out.append("<div class=\"wide\"><table>\n");
    for (int i = 0; i < rows.size(); i++) {
      String tag = i == 0 ? "th" : "td";
      out.append("<tr>");
      for (String cell : rows.get(i)) {
        out.append('<' + tag + '>').append(escape(cell)).append("</" + tag + '>');
      }
      out.append("</tr>\n");
    }
    out.append("</table></div>\n");
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;")
        .replace("'", "&#39;");
  }
}

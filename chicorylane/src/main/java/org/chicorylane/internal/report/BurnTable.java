package org.chicorylane.internal.report;

import java.util.ArrayList;
import java.util.List;

/**
 * Renders a report as plain-text tables for a terminal.
 *
 * <pre>{@code
 * out.print(BurnTable.render(report));
 * }</pre>
 *
 * <p>Stateless and thread-safe.
 */
public final class BurnTable {
  private static final String COLUMN_GAP = "  ";

  private BurnTable() {}

  /** Returns the tables; each line ends with a newline. */
  public static String render(BurnReport report) {
    StringBuilder out = new StringBuilder();
    out.append("Service-level burn at ").append(BurnFormatter.time(report.at())).append('\n');
    report
        .instances()
        .forEach(
            i ->
                out.append(i.instance() + " counts since " + BurnFormatter.time(i.since()) + "\n"));
    appendTable(out, "Objectives", objectiveRows(report));
    appendTable(out, "Failover gaps", gapRows(report));
    appendTable(out, "Reads", readRows(report));
    return out.toString();
  }

  /** Returns a heading and a row for each objective; empty if there are none. */
  static List<List<String>> objectiveRows(BurnReport report) {
    List<List<String>> rows = new ArrayList<>();
    for (ObjectiveBurn objective : report.objectives()) {
      if (rows.isEmpty()) {
        rows.add(objectiveHeading(objective));
      }
      rows.add(objectiveRow(objective));
    }
    return rows;
  }

  /** Returns a heading and a row for each failover gap; empty if there are none. */
  static List<List<String>> gapRows(BurnReport report) {
    List<List<String>> rows = new ArrayList<>();
    for (FailoverGap gap : report.failoverGaps()) {
      if (rows.isEmpty()) {
        rows.add(List.of("group", "start", "end", "length"));
      }
      rows.add(
          List.of(
              gap.group(),
              gap.start().toString(),
              gap.end() == null ? "open" : gap.end().toString(),
              BurnFormatter.seconds(gap.length(report.at()))));
    }
    return rows;
  }

  /** Returns a heading and a row for each group and window; empty if there are none. */
  static List<List<String>> readRows(BurnReport report) {
    List<List<String>> rows = new ArrayList<>();
    for (GroupReads reads : report.reads()) {
      if (rows.isEmpty()) {
        rows.add(List.of("group", "window", "by replicas", "by primary", "replica share"));
      }
      rows.add(
          List.of(
              reads.group(),
              BurnFormatter.window(reads.window()),
              Long.toString(reads.replica()),
              Long.toString(reads.primary()),
              BurnFormatter.percent(reads.replicaShare())));
    }
    return rows;
  }

  private static List<String> objectiveHeading(ObjectiveBurn objective) {
    List<String> heading =
        new ArrayList<>(
            List.of(
                "objective", "class", "target", "within", "window", "good", "bad", "budget left"));
    objective.windows().forEach(w -> heading.add("burn " + BurnFormatter.window(w.window())));
    heading.add("alert");
    return heading;
  }

  private static List<String> objectiveRow(ObjectiveBurn objective) {
    List<String> row =
        new ArrayList<>(
            List.of(
                objective.name(),
                objective.requestClass(),
                BurnFormatter.target(objective.target()),
                BurnFormatter.seconds(objective.latency()),
                BurnFormatter.budgetWindow(objective),
                Long.toString(objective.budget().good()),
                Long.toString(objective.budget().bad()),
                BurnFormatter.percent(objective.budgetLeft())));
    objective.windows().forEach(w -> row.add(BurnFormatter.rate(w.burnRate())));
    row.add(BurnFormatter.alert(objective.alert()));
    return row;
  }

  private static void appendTable(StringBuilder out, String title, List<List<String>> rows) {
    out.append('\n').append(title).append(rows.isEmpty() ? ": none\n" : "\n");
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int column = 0; column < row.size(); column++) {
        String cell = row.get(column);
        line.append(cell).append(" ".repeat(widthOf(column, rows) - cell.length()));
        line.append(COLUMN_GAP);
      }
      out.append(line.toString().stripTrailing()).append('\n');
    }
  }

  private static int widthOf(int column, List<List<String>> rows) {
    return rows.stream().mapToInt(r -> r.get(column).length()).max().orElse(0);
  }
}

package org.chicorylane.bench.day;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chicorylane.internal.json.UntrustedJson;
import org.jspecify.annotations.Nullable;

/**
 * Counts of statements that did not succeed, from the decision logs of all instances as the users'
 * bench prints them: each line with the second of the day and the machine before it.
 *
 * <p>Instances leave lines out when they exceed their budget, so that the counts are lower bounds.
 */
final class LossLog {

  /** What the statements of one count have in common. */
  record Cause(int second, String group, String kind, String outcome, String reason)
      implements Comparable<Cause> {
    @Override
    public int compareTo(Cause other) {
      return text().compareTo(other.text());
    }

    private String text() {
      return String.format("%06d\n%s\n%s\n%s\n%s", second, group, kind, outcome, reason);
    }
  }

  private static final Pattern LINE =
      Pattern.compile("\\s*(-?[0-9]+)\\.[0-9]+ \\S+ (\\{\"time\".*)");

  private static final Pattern NUMBERS = Pattern.compile("[0-9]+");

  /** A server, group or address by name; reasons that differ only in it are counted together. */
  private static final Pattern NAMES = Pattern.compile("\\b(server|group|to) \\S+");

  private final Map<Cause, Integer> counts = new TreeMap<>();

  /**
   * Reads a log.
   *
   * @throws IOException if the file cannot be read or a line of an instance is not valid; the
   *     message names the file and the line
   */
  static LossLog read(Path file) throws IOException {
    LossLog log = new LossLog();
    int number = 0;
    for (String line : Files.readAllLines(file)) {
      number++;
      Matcher m = LINE.matcher(line);
      if (m.matches()) {
        List<String> problems = new ArrayList<>();
        UntrustedJson.read(m.group(2), o -> o, problems::add)
            .ifPresent(o -> log.count(Integer.parseInt(m.group(1)), o));
        if (!problems.isEmpty()) {
          throw new IOException(file + " line " + number + ": " + problems.get(0));
        }
      }
    }
    return log;
  }

  private void count(int second, JsonObject line) {
    String event = text(line, "event");
    String outcome = text(line, "outcome");
    boolean isAnswer = "statement".equals(event) || "route".equals(event);
    if (!isAnswer || outcome == null || outcome.equals("done")) {
      return;
    }
    String kind = text(line, "kind");
    String reason = text(line, "reason");
    Cause cause =
        new Cause(
            second,
            String.valueOf(text(line, "group")),
            kind == null ? "unrouted" : kind,
            outcome,
            reason == null ? "unknown" : withoutParticulars(reason));
    counts.merge(cause, 1, Integer::sum);
  }

  private static String withoutParticulars(String reason) {
    String text = reason.replaceFirst("; retry after .*", "");
    return NUMBERS.matcher(NAMES.matcher(text).replaceAll("$1 X")).replaceAll("N");
  }

  private static @Nullable String text(JsonObject line, String name) {
    JsonElement value = line.get(name);
    return value == null ? null : value.getAsString();
  }

  /** Returns the counts, in order of time. */
  Map<Cause, Integer> counts() {
    return Map.copyOf(counts);
  }

  /** Returns the counts over all seconds, the largest first; their causes have second 0. */
  List<Map.Entry<Cause, Integer>> totals() {
    Map<Cause, Integer> totals = new TreeMap<>();
    counts.forEach(
        (c, n) ->
            totals.merge(
                new Cause(0, c.group(), c.kind(), c.outcome(), c.reason()), n, Integer::sum));
    List<Map.Entry<Cause, Integer>> sorted = new ArrayList<>(totals.entrySet());
    sorted.sort(Map.Entry.<Cause, Integer>comparingByValue().reversed());
    return sorted;
  }

  /** Returns the counts as comma-separated values with a heading, in order of time. */
  String toCsv() {
    StringBuilder csv = new StringBuilder("second,group,kind,outcome,reason,statements\n");
    counts.forEach(
        (c, n) ->
            csv.append(c.second())
                .append(',')
                .append(c.group())
                .append(',')
                .append(c.kind())
                .append(',')
                .append(c.outcome())
                .append(",\"")
                .append(c.reason().replace("\"", "\"\""))
                .append("\",")
                .append(n)
                .append('\n'));
    return csv.toString();
  }
}

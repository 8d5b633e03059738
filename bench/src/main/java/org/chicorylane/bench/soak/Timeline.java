package org.chicorylane.bench.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;

/** Records what happens in a soak, with the time of day that the instances' logs also show. */
final class Timeline implements AutoCloseable {

  private final List<String> lines = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final PrintStream file;

  /**
   * Creates a timeline.
   *
   * @param path the file to which the lines are written
   */
  Timeline(Path path) throws IOException {
    file = new PrintStream(Files.newOutputStream(path), true, StandardCharsets.UTF_8);
  }

  /** Records an event. */
  synchronized void event(String text) {
    String line = Instant.now().truncatedTo(ChronoUnit.MILLIS) + " " + text;
    lines.add(line);
    file.println(line);
  }

  /** Records that a rule was broken. */
  synchronized void violation(String rule, String text) {
    event("BROKEN " + rule + ": " + text);
    violations.add(rule + ": " + text);
  }

  /** Returns the broken rules so far, oldest first. */
  synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  /** Returns the last {@code count} lines. */
  synchronized List<String> last(int count) {
    return List.copyOf(lines.subList(Math.max(0, lines.size() - count), lines.size()));
  }

  @Override
  public void close() {
    file.close();
  }
}

package org.chicorylane.bench.day;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.chicorylane.internal.command.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against figures that are left out, mixed up or taken for zero when they are missing. */
final class ExplainDayTest {

  private static final String WINDOW =
      "{\"name\":\"%d\",\"n\":100,\"in_aim\":%d,\"late\":4,\"refused\":3,"
          + "\"failed\":2,\"worth\":%s}";

  private static final String LINE =
      "  %s front-1 {\"time\":\"t\",\"event\":\"statement\",\"group\":\"plans\",\"kind\":\"READ\","
          + "\"outcome\":\"%s\",\"reason\":\"queue of %d takes about 70 ms; retry after 35 ms\"}";

  @TempDir Path folder;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private Path write(String name, String... lines) throws IOException {
    return Files.writeString(folder.resolve(name), String.join("\n", lines));
  }

  private Path report() throws IOException {
    return write(
        "day.json",
        "{\"G\":0.8123,\"prices\":[[\"calls\",500,0.01],[\"none\",0,0]],\"windows\":[",
        WINDOW.formatted(0, 99, "0.99") + "," + WINDOW.formatted(2, 60, "0.7") + "]}");
  }

  private ExitCode run(Object... arguments) {
    return ExplainDay.run(
        List.of(arguments).stream().map(Object::toString).toList(),
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  @Test
  void testWorstWindowComesFirst() throws IOException {
    assertThat(run(report())).isEqualTo(ExitCode.OK);
    List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
    assertThat(lines.get(0)).isEqualTo("worth 0.812");
    assertThat(lines.get(1)).isEqualTo("  -0.0100 calls");
    assertThat(lines.get(3).trim().split(" +"))
        .isEqualTo(new String[] {"2", "100", "60", "4", "3", "2", "30"});
  }

  @Test
  void testRefusalsAreCountedByReasonWithoutNumbers() throws IOException {
    Path log =
        write(
            "day.log",
            "played in 60 s",
            LINE.formatted("3.1", "OVERLOADED", 7),
            LINE.formatted("3.9", "OVERLOADED", 8),
            LINE.formatted("4.2", "OVERLOADED", 9),
            LINE.formatted("4.3", "done", 9));
    Path csv = folder.resolve("losses.csv");
    assertThat(run(report(), log, "--csv", csv)).isEqualTo(ExitCode.OK);
    assertThat(out.toString(StandardCharsets.UTF_8))
        .contains("     3 plans READ OVERLOADED: queue of N takes about N ms");
    assertThat(Files.readAllLines(csv))
        .containsExactly(
            "second,group,kind,outcome,reason,statements",
            "3,plans,READ,OVERLOADED,\"queue of N takes about N ms\",2",
            "4,plans,READ,OVERLOADED,\"queue of N takes about N ms\",1")
        .inOrder();
  }

  @Test
  void testPlotIsWritten() throws IOException {
    Path plot = folder.resolve("losses.svg");
    assertThat(run(report(), "--plot", plot)).isEqualTo(ExitCode.OK);
    assertThat(Files.readString(plot)).contains("<svg");
  }

  @Test
  void testReportWithoutFieldIsAnError() throws IOException {
    Path file = write("day.json", "{\"G\":0.8,\"windows\":[]}");
    assertThat(run(file)).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString(StandardCharsets.UTF_8))
        .isEqualTo("chicorylane: " + file + ": not a report of a day: no field \"prices\"\n");
  }

  @Test
  void testBrokenLogLineIsAnErrorWithItsNumber() throws IOException {
    Path log = write("day.log", "a heading", "  3.1 front-1 {\"time\":\"t\",\"event\"");
    assertThat(run(report(), log)).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString(StandardCharsets.UTF_8)).contains(log + " line 2: ");
  }
}

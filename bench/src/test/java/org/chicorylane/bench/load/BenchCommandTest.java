package org.chicorylane.bench.load;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.chicorylane.internal.command.ExitCode;
import org.junit.jupiter.api.Test;

/**
 * Guards against a bench command that starts a benchmark with an unknown name, fault or run count
 * instead of rejecting it with a message that lists the valid values.
 */
final class BenchCommandTest {
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @Test
  void testRejectsUnknownBenchmark() {
    assertThat(run("speed")).isEqualTo(ExitCode.USAGE);
    assertThat(errorOutput()).contains("direct-and-proxied|failover|burst|slopes, not [speed]");
  }

  @Test
  void testRejectsUnknownFault() {
    assertThat(run("failover", "--fault", "flood")).isEqualTo(ExitCode.USAGE);
    assertThat(errorOutput()).contains("--fault takes kill, freeze or partition, not \"flood\"");
  }

  @Test
  void testRejectsRunCountOutOfRange() {
    assertThat(run("failover", "--runs", "0")).isEqualTo(ExitCode.USAGE);
    assertThat(errorOutput()).contains("--runs takes a number from 1 to 100, not \"0\"");
  }

  private ExitCode run(String... arguments) {
    PrintStream out = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
    PrintStream errors = new PrintStream(err, true, StandardCharsets.UTF_8);
    return new BenchCommand().run(List.of(arguments), out, errors);
  }

  private String errorOutput() {
    return err.toString(StandardCharsets.UTF_8);
  }
}

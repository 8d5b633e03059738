package org.chicorylane.bench;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chicorylane.internal.command.ExitCode;
import org.junit.jupiter.api.Test;

final class MainTest {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private ExitCode run(String... arguments) {
    out.reset();
    err.reset();
    return Main.run(
        List.of(arguments),
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  @Test
  void testEachCommandExplainsItself() {
    for (String name : Main.names()) {
      assertWithMessage(name).that(run(name, "--help")).isEqualTo(ExitCode.OK);
      assertThat(out.toString(StandardCharsets.UTF_8)).contains("example: chicorylane " + name);
      assertThat(err.size()).isEqualTo(0);
    }
  }

  @Test
  void testOptionsInTheHelpAreKnown() {
    Pattern option = Pattern.compile("^ +(--?[a-z][a-z-]*)", Pattern.MULTILINE);
    for (String name : Main.names()) {
      run(name, "--help");
      Matcher m = option.matcher(out.toString(StandardCharsets.UTF_8));
      while (m.find()) {
        String given = m.group(1);
        run(name, "burn", given, "--no-such-option");
        assertWithMessage("%s %s", name, given)
            .that(err.toString(StandardCharsets.UTF_8))
            .doesNotContain("Unrecognized option: " + given);
      }
    }
  }

  @Test
  void testUnknownCommandIsNamed() {
    assertThat(run("sevre")).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString(StandardCharsets.UTF_8)).contains("there is no command \"sevre\"");
  }
}

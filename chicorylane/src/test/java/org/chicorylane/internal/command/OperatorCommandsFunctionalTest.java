package org.chicorylane.internal.command;

import static com.google.common.truth.Truth.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.membership.MemberStatus;
import org.chicorylane.internal.operator.FleetStatus;
import org.chicorylane.internal.operator.InstanceStatus;
import org.chicorylane.internal.operator.OperatorServer;
import org.chicorylane.internal.platform.InMemoryKeyValueStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the operator commands against an operator server with an in-memory store. Guards against
 * commands that send an invalid document, overwrite the change of another operator, print a secret,
 * or report a result with the wrong exit code.
 */
final class OperatorCommandsFunctionalTest {
  private static final String TOKEN = "a-token-of-operators";

  private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
  private final SingleInstanceFleet fleet = new SingleInstanceFleet();
  private final OperatorServer server =
      OperatorServer.start(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
          TOKEN,
          store,
          fleet,
          InstantSource.system());
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @TempDir private Path directory;

  /** A fleet of one instance, whose revision the test sets. */
  private static final class SingleInstanceFleet implements FleetStatus {
    private volatile long revision;

    @Override
    public String instance() {
      return "i1";
    }

    @Override
    public Declarations inForce() {
      return new Declarations(revision, Map.of(), Map.of(), Map.of(), Map.of());
    }

    @Override
    public List<InstanceStatus> instances() {
      return List.of(new InstanceStatus("i1", "z", MemberStatus.ALIVE, OptionalLong.of(revision)));
    }
  }

  @AfterEach
  void close() {
    server.close();
  }

  @Test
  void testInvalidFilesPrintAllFindingsAndSendNothing() throws Exception {
    write("a.json", "lookup", "\"maximumAgeMillis\":-1");
    write("b.json", "browse", "\"maximumAgeMillis\":5,\"more\":1");
    write("c.json", "fresh", "\"maximumAgeMillis\":0");
    Files.writeString(directory.resolve("d.json"), "{");
    write("e.json", "fresh", "\"maximumAgeMillis\":1");
    long calls = store.calls();
    for (Command command : List.of(new ApplyCommand(), new DiffCommand())) {
      err.reset();
      assertThat(run(command, "-f", directory.toString())).isEqualTo(ExitCode.USAGE);
      String errors = textOf(err);
      assertThat(errors).containsMatch("a\\.json: .* at \\$\\.spec\\.maximumAgeMillis");
      assertThat(errors).containsMatch("b\\.json: .* at \\$\\.spec\\.more");
      assertThat(errors).contains("d.json: ");
      assertThat(errors).containsMatch("e\\.json: ReadClass/fresh is in .*c\\.json too");
    }
    assertThat(store.calls()).isEqualTo(calls);
  }

  @Test
  void testDiffPrintsChangedFieldsUntilApplied() throws Exception {
    write("a.json", "lookup", "\"maximumAgeMillis\":5");
    assertThat(run(new DiffCommand(), "-f", directory.toString())).isEqualTo(ExitCode.NEGATIVE);
    assertThat(textOf(out)).contains("+ ReadClass/lookup");
    assertThat(run(new ApplyCommand(), "-f", directory.toString())).isEqualTo(ExitCode.OK);
    assertThat(run(new DiffCommand(), "-f", directory.toString())).isEqualTo(ExitCode.OK);
    write("a.json", "lookup", "\"maximumAgeMillis\":6");
    assertThat(run(new DiffCommand(), "-f", directory.toString())).isEqualTo(ExitCode.NEGATIVE);
    assertThat(textOf(out)).contains("$.spec.maximumAgeMillis: 5 -> 6");
  }

  @Test
  void testDiffHidesSecrets() {
    JsonObject before = JsonParser.parseString("{\"password\":\"old-secret\"}").getAsJsonObject();
    JsonObject after = JsonParser.parseString("{\"password\":\"new-secret\"}").getAsJsonObject();
    assertThat(SpecDifference.describe(before, after))
        .containsExactly("$.spec.password: (secret) -> (secret)");
  }

  @Test
  void testApplyOverStaleVersionIsConflictWithOtherOperator() throws Exception {
    Path file = write("a.json", "lookup", "\"maximumAgeMillis\":5");
    run(new ApplyCommand(), "-f", file.toString());
    out.reset();
    run(new GetCommand(), "ReadClass", "lookup");
    String document = textOf(out);
    write("a.json", "lookup", "\"maximumAgeMillis\":6");
    assertThat(run(new ApplyCommand(), "-f", file.toString(), "--by", "ben"))
        .isEqualTo(ExitCode.OK);
    Path stale = directory.resolve("stale.json");
    Files.writeString(
        stale, document.replace("\"maximumAgeMillis\": 5", "\"maximumAgeMillis\": 7"));
    assertThat(run(new ApplyCommand(), "-f", stale.toString())).isEqualTo(ExitCode.CONFLICT);
    assertThat(textOf(err)).containsMatch("expected version \\d+, found \\d+, changed by ben at 2");
  }

  @Test
  void testWaitSucceedsOnlyWhenEnoughInstancesRunDeclaredRevision() throws Exception {
    write("a.json", "lookup", "\"maximumAgeMillis\":5");
    run(new ApplyCommand(), "-f", directory.toString());
    assertThat(run(new WaitCommand(), "--for=in-force", "--timeout", "0"))
        .isEqualTo(ExitCode.NEGATIVE);
    assertThat(textOf(out)).contains("older than");
    fleet.revision = store.engine().revision();
    assertThat(run(new WaitCommand(), "--for=in-force", "--timeout", "0")).isEqualTo(ExitCode.OK);
    assertThat(run(new WaitCommand(), "--for=in-force", "--timeout", "0", "--instances", "2"))
        .isEqualTo(ExitCode.NEGATIVE);
    store.setDown(true);
    assertThat(run(new WaitCommand(), "--for=in-force", "--timeout", "0"))
        .isEqualTo(ExitCode.NEGATIVE);
  }

  @Test
  void testDeleteSucceedsOnlyIfDocumentExists() throws Exception {
    write("a.json", "lookup", "\"maximumAgeMillis\":5");
    run(new ApplyCommand(), "-f", directory.toString());
    assertThat(run(new DeleteCommand(), "ReadClass", "lookup")).isEqualTo(ExitCode.OK);
    assertThat(run(new DeleteCommand(), "ReadClass", "lookup")).isEqualTo(ExitCode.NEGATIVE);
  }

  @Test
  void testExitCodeDistinguishesCausesOfFailure() {
    assertThat(run(new StatusCommand(), "--output", "xml")).isEqualTo(ExitCode.USAGE);
    assertThat(run(new StatusCommand(), "--operator", "nowhere")).isEqualTo(ExitCode.USAGE);
    assertThat(run(new StatusCommand(), "--token", "wrong")).isEqualTo(ExitCode.USAGE);
    assertThat(run(new GetCommand(), "ReadClass", "none")).isEqualTo(ExitCode.NEGATIVE);
    store.setDown(true);
    assertThat(run(new GetCommand())).isEqualTo(ExitCode.UNAVAILABLE);
    server.close();
    assertThat(run(new StatusCommand())).isEqualTo(ExitCode.UNAVAILABLE);
  }

  private ExitCode run(Command command, String... arguments) {
    List<String> givenArguments = Arrays.asList(arguments);
    List<String> allArguments = new ArrayList<>(givenArguments);
    if (!givenArguments.contains("--operator")) {
      allArguments.addAll(List.of("--operator", "http://127.0.0.1:" + server.address().getPort()));
    }
    if (!givenArguments.contains("--token")) {
      allArguments.addAll(List.of("--token", TOKEN));
    }
    return command.run(
        allArguments,
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  private Path write(String file, String name, String spec) throws IOException {
    String document =
        "{\"apiVersion\":\"chicorylane.example/v1\",\"kind\":\"ReadClass\","
            + "\"metadata\":{\"name\":\"%s\"},\"spec\":{%s}}";
    return Files.writeString(directory.resolve(file), document.formatted(name, spec));
  }

  private static String textOf(ByteArrayOutputStream stream) {
    return stream.toString(StandardCharsets.UTF_8);
  }
}

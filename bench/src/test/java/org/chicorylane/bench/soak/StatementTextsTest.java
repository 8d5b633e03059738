package org.chicorylane.bench.soak;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.chicorylane.standin.wire.ReplicatedServer;
import org.chicorylane.standin.wire.ReplicatedSystem;
import org.chicorylane.standin.wire.StandInWireClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The checker finds statements at servers whose texts no client has sent. */
final class StatementTextsTest {

  @TempDir Path folder;

  private Timeline timeline;
  private PromiseChecker checker;
  private ReplicatedSystem system;

  @BeforeEach
  void start() throws IOException {
    timeline = new Timeline(folder.resolve("timeline.log"));
    checker = new PromiseChecker(timeline, instance -> false, (s, nanos) -> 0, (g, call) -> {});
    system = new ReplicatedSystem(List.of("plans"), checker, 1, address -> address);
  }

  @AfterEach
  void stop() throws IOException {
    system.close();
    timeline.close();
  }

  private void ask(String message) throws IOException {
    ReplicatedServer server = system.groups().get(0).servers().get(0);
    try (StandInWireClient client = new StandInWireClient(server.address())) {
      client.ask("STARTUP plans tester " + server.id());
      client.ask(message);
    }
  }

  private List<String> brokenRules() {
    return timeline.violations().stream().map(v -> v.substring(0, v.indexOf(':'))).toList();
  }

  @Test
  void testSentTextsAreAllowed() throws IOException {
    checker.onStatementSent("w1", "WRITE item a\nb\r");
    checker.onStatementSent("w2", "EXECUTE p item a\nb");
    checker.onStatementSent("w3", "SET zone a\rb");
    checker.onStatementSent("w4", "PREPARE p WRITE a\nb");
    ask("QUERY w1 WRITE item a\nb\r");
    ask("QUERY w2 EXECUTE other item a\nb");
    ask("QUERY - SET zone a\rb");
    ask("QUERY - PREPARE other WRITE a\nb");
    ask("QUERY - STATUS");
    assertThat(brokenRules()).isEmpty();
  }

  @Test
  void testCutTextIsFound() throws IOException {
    checker.onStatementSent("w1", "WRITE item a\nb");
    ask("QUERY w1 WRITE item a");
    assertThat(brokenRules()).containsExactly("UNASKED");
  }

  @Test
  void testSmuggledStatementIsFound() throws IOException {
    checker.onStatementSent("w1", "WRITE item a\nQUERY w2 WRITE item b");
    ask("QUERY w2 WRITE item b");
    assertThat(brokenRules()).containsExactly("UNASKED");
  }

  @Test
  void testForeignValueAndShapeAreFound() throws IOException {
    checker.onStatementSent("w3", "SET zone a\nb");
    checker.onStatementSent("w4", "PREPARE p WRITE a");
    ask("QUERY - SET zone a");
    ask("QUERY - PREPARE other READ a");
    assertThat(brokenRules()).containsExactly("UNASKED", "UNASKED");
  }

  @Test
  void testMessageThatIsNoneIsFound() throws IOException {
    ask("b\r");
    assertThat(brokenRules()).containsExactly("UNASKED");
  }
}

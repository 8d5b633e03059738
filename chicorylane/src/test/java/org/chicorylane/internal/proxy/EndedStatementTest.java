package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chicorylane.internal.entry.ClientSession;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ClientStatement;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.ModelServer;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against statements that are sent to a server after their client was told how they ended,
 * and against statements that run with other session values than those of their submission. Each
 * case is played at an entry that is the home of the group, where a statement is passed on as an
 * object, and at another one, where it goes over the mesh.
 */
final class EndedStatementTest {

  /** A run of a client's statement. */
  private record Run(String requestId, long millis, Map<String, String> values) {}

  private final ModelFleet fleet = new ModelFleet(3);
  private final List<Run> runs = new ArrayList<>();
  private final Map<String, Answer> answers = new HashMap<>();
  private final Map<String, Long> answeredMillis = new HashMap<>();

  private ClientSession openSession(boolean atHome) {
    fleet.start();
    fleet.advance(2_000);
    fleet.group.listener =
        (server, connection, id, values, state) ->
            runs.add(new Run(id, fleet.scheduler.millis(), values));
    ModelHost home = fleet.home().orElseThrow();
    ModelHost entry =
        atHome ? home : fleet.hosts().stream().filter(h -> h != home).findFirst().orElseThrow();
    openConnections(entry);
    return entry.openSession(ModelFleet.LATEST, () -> {});
  }

  /** Runs statements at the same time, so that the pool has several idle connections. */
  private void openConnections(ModelHost entry) {
    for (int i = 0; i < 3; i++) {
      ClientSession session = entry.openSession(ModelFleet.LATEST, () -> {});
      run(session, "first-" + i, new ClientStatement.Write("WRITE 1a4 first"));
    }
    fleet.advance(200);
    assertThat(answers.values().stream().filter(Answer::succeeded).toList()).hasSize(3);
  }

  private void run(ClientSession session, String id, ClientStatement statement) {
    session.run(
        id,
        statement,
        answer -> {
          answers.put(id, answer);
          answeredMillis.put(id, fleet.scheduler.millis());
        });
  }

  private List<Run> runsOf(String id) {
    return runs.stream().filter(run -> run.requestId().equals(id)).toList();
  }

  /**
   * Runs a statement of a session that has set a value, while the primary loses the answers to the
   * commands that set values. When the client has been told the outcome, it sets another value;
   * then the connections without an answer are reset.
   */
  private void runWithoutSetupAnswers(boolean atHome, String id, ClientStatement statement) {
    ClientSession session = openSession(atHome);
    ModelServer primary = fleet.group.primary();
    primary.losesAnswer = command -> command instanceof ServerCommand.SetValue;
    run(session, "s1", new ClientStatement.SetValue("tone", "first"));
    run(session, id, statement);
    fleet.advance(2_250);
    assertThat(answers).containsKey(id);
    run(session, "s2", new ClientStatement.SetValue("tone", "second"));
    primary.losesAnswer = command -> false;
    primary.resetUnanswered();
    fleet.advance(3_000);
  }

  // Review case 7: a write in doubt ran later, with the values that its session had by then.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void testWriteRunsWithValuesOfItsSubmission(boolean atHome) {
    runWithoutSetupAnswers(atHome, "w", new ClientStatement.Write("WRITE 1a4 data"));
    for (Run run : runsOf("w")) {
      assertThat(run.values()).containsExactly("tone", "first");
    }
  }

  /** Asserts that the statement was answered, and did not run after that. */
  private void assertNotRunAfterAnswer(String id) {
    assertThat(answers).containsKey(id);
    for (Run run : runsOf(id)) {
      assertThat(run.millis()).isAtMost(answeredMillis.get(id));
    }
  }

  // Review case 7: a write ran after its client had been told that it was given up.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void testWriteThatIsGivenUpIsNotSentLater(boolean atHome) {
    runWithoutSetupAnswers(atHome, "w", new ClientStatement.Write("WRITE 1a4 data"));
    assertNotRunAfterAnswer("w");
  }

  // Review case 7: a read that its client had been told was refused ran seconds later.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void testReadThatIsRefusedIsNotSentLater(boolean atHome) {
    runWithoutSetupAnswers(atHome, "r", new ClientStatement.Read("READ 1a4"));
    assertThat(answers.get("r").failure()).isEqualTo(FailureCode.OVERLOADED);
    assertNotRunAfterAnswer("r");
  }

  // The answer to the preparation is late instead of lost.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void testStatementWhoseSetupIsAnsweredLateIsNotSentLater(boolean atHome) {
    ClientSession session = openSession(atHome);
    ModelServer primary = fleet.group.primary();
    primary.answerDelay =
        command ->
            command instanceof ServerCommand.SetValue ? Duration.ofSeconds(2) : Duration.ZERO;
    run(session, "s", new ClientStatement.SetValue("tone", "first"));
    run(session, "w", new ClientStatement.Write("WRITE 1a4 data"));
    fleet.advance(5_000);
    assertNotRunAfterAnswer("w");
  }

  // Guards against a statement that runs after its client was told, at a shutdown, that it did not.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void testStatementThatIsAbortedAtShutdownIsNotSentLater(boolean atHome) {
    ClientSession session = openSession(atHome);
    fleet.group.primary().answerDelay =
        command ->
            command instanceof ServerCommand.SetValue ? Duration.ofMillis(100) : Duration.ZERO;
    run(session, "s", new ClientStatement.SetValue("tone", "first"));
    run(session, "r", new ClientStatement.Read("READ 1a4"));
    fleet.advance(50);
    session.abortRunning("the instance shuts down");
    fleet.advance(2_000);
    assertThat(answers.get("r").failure()).isEqualTo(FailureCode.ABORTED);
    assertThat(runsOf("r")).isEmpty();
  }
}

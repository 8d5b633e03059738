package org.chicorylane.standin.wire;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.chicorylane.standin.wire.AnswerFaults.CopiedAnswers;
import org.chicorylane.standin.wire.AnswerFaults.CopyTime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A stand-in server sends whole answers twice, at the times and of the kinds that were set. */
final class AnswerFaultsTest {

  private static final String ANSWER = "COMPLETE sig.a1;READY I 1.11;";

  private StandInWireServer server;

  @BeforeEach
  void start() throws IOException {
    server = new StandInWireServer("plans", "server-0", true, new AtomicLong(10));
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
  }

  private StandInWireClient connect() throws IOException {
    StandInWireClient client = new StandInWireClient(server.address());
    assertThat(client.ask("STARTUP plans tester")).containsExactly("READY I 1.10");
    return client;
  }

  private static String lines(StandInWireClient client, int count) throws IOException {
    StringBuilder lines = new StringBuilder();
    for (int i = 0; i < count; i++) {
      lines.append(client.line()).append(';');
    }
    return lines.toString();
  }

  @ParameterizedTest
  @EnumSource(names = {"AT_ONCE", "SOON", "LATE"})
  void testCopyFollowsWithoutRequest(CopyTime time) throws IOException {
    try (StandInWireClient client = connect()) {
      server.faults().copy(1, CopiedAnswers.ALL, time);
      client.send("QUERY a1 WRITE item data\r\n");
      assertThat(lines(client, 4)).isEqualTo(ANSWER + ANSWER);
      assertThat(server.writes()).containsExactly("a1");
      assertThat(server.faults().copies()).isEqualTo(1);
    }
  }

  @Test
  void testCopyPrecedesAnswerOfLaterRequest() throws IOException {
    try (StandInWireClient client = connect()) {
      server.faults().copy(1, CopiedAnswers.ALL, CopyTime.UNDER_LATER_REQUEST);
      client.ask("QUERY a1 WRITE item data");
      server.faults().copy(0, CopiedAnswers.ALL, CopyTime.AT_ONCE);
      for (int i = 2; i < 5; i++) {
        assertThat(client.ask("QUERY a" + i + " SET a b"))
            .containsExactly("COMPLETE -", "READY I 1.11");
      }
      client.send("QUERY a5 SET a b\r\n");
      assertThat(lines(client, 4)).isEqualTo(ANSWER + "COMPLETE -;READY I 1.11;");
    }
  }

  @Test
  void testOnlyUnsignedAnswersAreCopied() throws IOException {
    try (StandInWireClient client = connect()) {
      server.faults().copy(1, CopiedAnswers.UNSIGNED, CopyTime.AT_ONCE);
      client.ask("QUERY a1 WRITE item data");
      client.send("QUERY a2 SET a b\r\n");
      assertThat(lines(client, 4)).isEqualTo("COMPLETE -;READY I 1.11;COMPLETE -;READY I 1.11;");
      server.faults().refuse(1);
      client.send("QUERY a3 WRITE item data\r\n");
      String refusal = "ERROR BUSY server-0;READY I 1.11;";
      assertThat(lines(client, 4)).isEqualTo(refusal + refusal);
      assertThat(server.writes()).containsExactly("a1");
    }
  }

  @Test
  void testGreetingIsCopied() throws IOException {
    server.faults().copy(1, CopiedAnswers.GREETING, CopyTime.AT_ONCE);
    try (StandInWireClient client = connect()) {
      assertThat(client.line()).isEqualTo("READY I 1.10");
      assertThat(client.ask("QUERY a1 READ item")).contains("COMPLETE sig.a1");
    }
  }

  @Test
  void testAnswerInPiecesIsWhole() throws IOException {
    server.faults().split(true);
    server.setRows(WireRows.EVERY_BYTE);
    try (StandInWireClient client = connect()) {
      for (int i = 0; i < 100; i++) {
        List<String> expected = new ArrayList<>();
        WireRows.EVERY_BYTE.of("a" + i).forEach(row -> expected.add("DATAROW " + row));
        expected.add("COMPLETE sig.a" + i);
        expected.add("READY I 1.10");
        assertThat(client.ask("QUERY a" + i + " READ item"))
            .containsExactlyElementsIn(expected)
            .inOrder();
      }
    }
  }
}

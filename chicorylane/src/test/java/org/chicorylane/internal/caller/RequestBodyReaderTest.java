package org.chicorylane.internal.caller;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.chicorylane.internal.finding.Finding;
import org.chicorylane.internal.relay.RequestKind;
import org.chicorylane.internal.statement.SqlValue;
import org.junit.jupiter.api.Test;

/**
 * Tests the parsing of request bodies. Guards against parameters that change their value, mistakes
 * that are reported with a wrong path, and invalid input that causes an exception.
 */
final class RequestBodyReaderTest {

  /** A body with one mistake, and the path and part of the message of the expected finding. */
  private record Mistake(String body, String path, String message) {}

  private static final List<RequestKind> KINDS = List.of(RequestKind.values());
  private static final String VALID =
      "{\"statements\":[{\"sql\":\"S\",\"parameters\":[null,true,7,1.50]}],\"repeatable\":true}";

  private static final List<Mistake> MISTAKES =
      List.of(
          new Mistake("", "$", "ends within"),
          new Mistake("[]", "$", "expected an object, not []"),
          new Mistake(
              "{\"statements\":[{\"sql\":\"S\"}]} {}",
              "$",
              "not well-formed JSON near line 1 column 3"),
          new Mistake("{}", "$.statements", "missing"),
          new Mistake("{\"statements\":[]}", "$.statements", "at least one"),
          new Mistake("{\"statements\":7}", "$.statements", "expected an array, not 7"),
          new Mistake("{\"statements\":[7]}", "$.statements[0]", "expected an object, not 7"),
          new Mistake("{\"statements\":[{}]}", "$.statements[0].sql", "missing"),
          new Mistake("{\"statements\":[{\"sql\":5}]}", "$.statements[0].sql", "not 5"),
          new Mistake("{\"statements\":[{\"sql\":\" \"}]}", "$.statements[0].sql", "white space"),
          new Mistake(
              "{\"statements\":[{\"sql\":\"S\",\"parameters\":[[]]}]}",
              "$.statements[0].parameters[0]",
              "not an array"),
          new Mistake(
              "{\"statements\":[{\"sql\":\"S\",\"parameters\":[1e99999]}]}",
              "$.statements[0].parameters[0]",
              "digits"),
          new Mistake(
              "{\"statements\":[{\"sql\":\"S\",\"parameters\":[1,2,3,4,5]}]}",
              "$.statements[0].parameters",
              "5 parameters, more than 4"),
          new Mistake(
              "{\"statements\":[{\"sql\":\"S\"},{\"sql\":\"S\"},{\"sql\":\"S\"},{\"sql\":\"S\"}]}",
              "$.statements",
              "4 statements, more than 3"),
          new Mistake(
              "{\"statements\":[{\"sql\":\"S\"}],\"repeatable\":\"yes\"}",
              "$.repeatable",
              "expected true or false, not \"yes\""),
          new Mistake(
              "{\"statements\":[{\"sql\":\"S\"}],\"wait\":1}", "$.wait", "unknown field \"wait\""),
          new Mistake(
              "{\"statements\":[{\"sql\":\"S\",\"sql\":\"T\"}]}",
              "$.statements[0].sql",
              "stands twice"));

  private final RequestBodyReader reader = new RequestBodyReader(CallerFixture.limits().sizes());

  @Test
  void testPreservesParameterValuesExactly() {
    List<Finding> findings = new ArrayList<>();
    String body =
        "{\"statements\":[{\"sql\":\"S\",\"parameters\":[1.50,-9223372036854775808,"
            + "9223372036854775808,\"\"]}]}";

    RequestBody read = reader.read(ByteString.copyFromUtf8(body), RequestKind.WRITE, findings);

    assertThat(findings).isEmpty();
    assertThat(read.statements().get(0).parameters())
        .containsExactly(
            new SqlValue.Decimal(new BigDecimal("1.50")),
            new SqlValue.Int(Long.MIN_VALUE),
            new SqlValue.Decimal(new BigDecimal("9223372036854775808")),
            new SqlValue.Text(""))
        .inOrder();
  }

  @Test
  void testReportsEachMistakeWithItsPath() {
    for (Mistake mistake : MISTAKES) {
      List<Finding> findings = new ArrayList<>();
      reader.read(ByteString.copyFromUtf8(mistake.body()), RequestKind.WRITE, findings);
      assertWithMessage(mistake.body()).that(findings).hasSize(1);
      assertThat(findings.get(0).path()).isEqualTo(mistake.path());
      assertThat(findings.get(0).message()).contains(mistake.message());
    }
  }

  @Test
  void testReportsAllMistakesAtOnce() {
    List<Finding> findings = new ArrayList<>();
    String body =
        "{\"statements\":[{\"sql\":1,\"x\":2},{\"parameters\":3}],\"repeatable\":4,\"y\":5}";

    reader.read(ByteString.copyFromUtf8(body), RequestKind.WRITE, findings);

    assertThat(findings.stream().map(Finding::path).toList())
        .containsExactly(
            "$.statements[0].sql",
            "$.statements[0].x",
            "$.statements[1].sql",
            "$.statements[1].parameters",
            "$.repeatable",
            "$.y");
  }

  @Test
  void testMutatedBodiesAreParsedOrReportedWithoutException() {
    Random random = new Random(42);
    int valid = 0;
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = VALID.getBytes(StandardCharsets.UTF_8);
      for (int changes = random.nextInt(4); changes > 0; changes--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      int length = random.nextInt(4) == 0 ? random.nextInt(bytes.length) : bytes.length;
      List<Finding> findings = new ArrayList<>();
      RequestKind kind = KINDS.get(random.nextInt(KINDS.size()));
      RequestBody body = reader.read(ByteString.copyFrom(bytes, 0, length), kind, findings);
      if (findings.isEmpty() && kind == RequestKind.WRITE) {
        assertThat(body.statements()).isNotEmpty();
        valid++;
      }
    }
    assertThat(valid).isGreaterThan(100);
  }
}

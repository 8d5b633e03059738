package org.chicorylane;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.chicorylane.internal.caller.CallerLimits;
import org.chicorylane.internal.finding.Finding;
import org.chicorylane.internal.settings.LogFormat;
import org.chicorylane.internal.settings.TlsFiles;
import org.junit.jupiter.api.Test;

/**
 * Guards against invalid settings that are accepted or reported at the wrong path, against findings
 * that are reported one at a time, and against secrets that appear in findings.
 */
final class SettingsReaderTest {
  private static final String SECRET = "MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE=";
  private static final String MINIMAL =
      """
      {
        "instance": "i1",
        "availabilityZone": "hall-liben",
        "addresses": {
          "caller": "127.0.0.1:7400",
          "relay": "127.0.0.1:7401",
          "membership": "[::1]:7402",
          "operator": "127.0.0.1:7403"
        },
        "platform": {
          "keyValueEndpoints": ["http://127.0.0.1:2379"],
          "instanceListEndpoints": ["http://127.0.0.1:2380/list"]
        },
        "sessionKeys": [{"id": "k1", "secret": "%s"}]%s
      }
      """;

  /** A replacement in the minimal document, and the path and message of the expected finding. */
  private record Mistake(String from, String to, String path, String message) {}

  private static final List<Mistake> MISTAKES =
      List.of(
          new Mistake("\"i1\"", "7", "$.instance", "expected a string, not 7"),
          new Mistake("\"instance\"", "\"instanse\"", "$.instance", "is missing"),
          new Mistake(
              "127.0.0.1:7400", "localhost:7400", "$.addresses.caller", "\"localhost:7400\""),
          new Mistake("127.0.0.1:7401", "127.0.0.1:70000", "$.addresses.relay", "70000"),
          new Mistake("127.0.0.1:7403", "300.0.0.1:1", "$.addresses.operator", "300.0.0.1:1"),
          new Mistake("\"relay\"", "\"caller\"", "$.addresses.caller", "stands twice"),
          new Mistake(
              "http://127.0.0.1:2379", "ftp://x", "$.platform.keyValueEndpoints", "\"ftp://x\""),
          new Mistake(
              "[\"http://127.0.0.1:2379\"]", "[]", "$.platform.keyValueEndpoints", "one URL"),
          new Mistake(SECRET, "c2hvcnQ=", "$.sessionKeys[0].secret", "5 bytes, fewer than 32"),
          new Mistake(SECRET, "?", "$.sessionKeys[0].secret", "not shown"),
          new Mistake("}]", "}],\"operatorToken\":\"short\"", "$.operatorToken", "16 characters"),
          new Mistake("}]", "}],\"callers\":{\"bodyBytes\":1}", "$.callers.bodyBytes", "from 1024"),
          new Mistake(
              "}]",
              "}],\"callers\":{\"defaultDeadlineMillis\":60000}",
              "$.callers.defaultDeadlineMillis",
              "longer than the maximum of 30000 ms"),
          new Mistake(
              "}]", "}],\"callers\":{\"wait\":1}", "$.callers.wait", "unknown field \"wait\""),
          new Mistake(
              "}]", "}],\"home\":{\"waitingRequests\":0.5}", "$.home.waitingRequests", "0.5"),
          new Mistake(
              "}]", "}],\"log\":{\"format\":\"xml\"}", "$.log.format", "[text, json], not \"xml\""),
          new Mistake("}]", "}],\"tls\":{\"keyFile\":\"k\"}", "$.tls.certificateFile", "missing"),
          new Mistake("}]", "}],\"logs\":{}", "$.logs", "unknown field \"logs\""));

  @Test
  void testMinimalDocumentHasDefaults() {
    Settings settings = valid(MINIMAL.formatted(SECRET, ""));

    assertThat(settings.addresses().caller().getPort()).isEqualTo(7400);
    assertThat(settings.callerLimits()).isEqualTo(CallerLimits.defaults());
    assertThat(settings.operatorToken()).isEmpty();
    assertThat(settings.tls()).isEmpty();
    assertThat(settings.log().format()).isEqualTo(LogFormat.TEXT);
  }

  @Test
  void testOptionalSectionsOverrideOnlyTheirMembers() {
    Settings settings =
        valid(
            MINIMAL.formatted(
                SECRET,
                """
                , "callers": {"maximumDeadlineMillis": 60000, "connections": 7},
                "tls": {"certificateFile": "c.pem", "keyFile": "k.pem"},
                "log": {"format": "json"}
                """));

    assertThat(settings.callerLimits().times().maximumDeadline()).isEqualTo(Duration.ofMinutes(1));
    assertThat(settings.callerLimits().load().connections()).isEqualTo(7);
    assertThat(settings.callerLimits().sizes()).isEqualTo(CallerLimits.defaults().sizes());
    assertThat(settings.tls()).hasValue(new TlsFiles(Path.of("c.pem"), Path.of("k.pem")));
    assertThat(settings.log().format()).isEqualTo(LogFormat.JSON);
  }

  @Test
  void testEachMistakeIsReportedAtItsPath() {
    for (Mistake mistake : MISTAKES) {
      String document = MINIMAL.formatted(SECRET, "").replace(mistake.from(), mistake.to());
      List<Finding> findings = findings(document);
      assertWithMessage(mistake.to())
          .that(findings.stream().map(Finding::path).toList())
          .contains(mistake.path());
      assertWithMessage(mistake.to())
          .that(findings.stream().map(Finding::message).toList().toString())
          .contains(mistake.message());
    }
  }

  @Test
  void testAllMistakesAreReportedTogetherWithoutSecrets() {
    String document =
        MINIMAL
            .formatted("!topsecret!", ", \"operatorToken\": [\"hidden\"], \"x\": 1")
            .replace("hall-liben", "")
            .replace("127.0.0.1:7400", "nowhere");

    List<Finding> findings = findings(document);

    assertThat(findings.stream().map(Finding::path).toList())
        .containsExactly(
            "$.availabilityZone",
            "$.addresses.caller",
            "$.sessionKeys[0].secret",
            "$.operatorToken",
            "$.x");
    assertThat(findings.toString()).doesNotContain("topsecret");
    assertThat(findings.toString()).doesNotContain("hidden");
  }

  @Test
  void testFindingsNeverQuoteMalformedSessionKeys() {
    for (String keys :
        List.of(
            "{\"id\":\"k\",\"secret\":\"TOPSECRET\"}", "[\"TOPSECRET\"]", "[[\"TOPSECRET\"]]")) {
      String document =
          MINIMAL
              .formatted(SECRET, "")
              .replaceFirst("(?s)\"sessionKeys\": *\\[.*?\\]", "\"sessionKeys\": " + keys);
      assertWithMessage(document).that(document).contains("TOPSECRET");
      assertThat(findings(document).toString()).doesNotContain("TOPSECRET");
    }
  }

  @Test
  void testExampleFilesAreValidAndShareOneKey() {
    Settings first = null;
    for (int i = 1; i <= 3; i++) {
      Path file = Path.of("../config/example/instance-" + i + ".json");
      Settings settings = ((SettingsResult.Valid) SettingsReader.readFile(file)).settings();
      assertThat(settings.instanceId()).isEqualTo("instance-" + i);
      first = first == null ? settings : first;
      assertThat(settings.sessionKeys()).isEqualTo(first.sessionKeys());
      assertThat(settings.toString()).doesNotContain("example-operator-token");
    }
  }

  @Test
  void testReportsUnreadableFile() {
    SettingsResult result = SettingsReader.readFile(Path.of("no-such-file.json"));

    assertThat(((SettingsResult.Invalid) result).findings()).hasSize(1);
  }

  private static Settings valid(String document) {
    SettingsResult result = read(document);
    assertThat(result).isInstanceOf(SettingsResult.Valid.class);
    return ((SettingsResult.Valid) result).settings();
  }

  private static List<Finding> findings(String document) {
    return ((SettingsResult.Invalid) read(document)).findings();
  }

  private static SettingsResult read(String document) {
    return SettingsReader.read("test", ByteBuffer.wrap(document.getBytes(StandardCharsets.UTF_8)));
  }
}

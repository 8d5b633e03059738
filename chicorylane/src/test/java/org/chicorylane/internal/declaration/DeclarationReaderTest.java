package org.chicorylane.internal.declaration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.chicorylane.internal.finding.Finding;
import org.junit.jupiter.api.Test;

/**
 * Guards against documents that are accepted although invalid, rejected without a usable finding,
 * or that affect other documents: one bad document must not remove valid ones from the
 * declarations.
 */
final class DeclarationReaderTest {
  @Test
  void testExampleDocumentsAreConsistent() throws IOException {
    Declarations all = valid(DeclarationReader.assemble(7, examples()));

    assertThat(all.revision()).isEqualTo(7);
    assertThat(all.groups().keySet()).containsExactly("plans", "ledger", "fleet");
    assertThat(all.readClasses().get("lookup").maximumAge()).isEqualTo(Duration.ofSeconds(5));
    assertThat(all.requestClasses()).hasSize(5);
    assertThat(all.objectives()).hasSize(4);
  }

  @Test
  void testReportsInvalidValueWithPath() {
    Map<String, String> expectedFindings =
        Map.ofEntries(
            Map.entry("'port':1", "$.spec.servers[0].port: 0 is"),
            Map.entry("'slots':3", "$.spec.servers[0].slots: \"3\" is"),
            Map.entry("127.0.0.1", "$.spec.servers[0].host: \"localhost\" is"),
            Map.entry("hall-a", "$.spec.servers[0].availabilityZone: \"Hall A\" is"),
            Map.entry("'connections':25", "$.spec.servers[0].connections: 3.5 is"),
            Map.entry("'initialPrimary':'a'", "$.spec.initialPrimary: \"z\" is none"),
            Map.entry("'database':'d',", "$.spec.database: \"database\" is missing"),
            Map.entry("'user'", "$.spec['us er']: unknown key"),
            Map.entry("DatabaseGroup", "$.kind: \"DatabaseGrp\" is"),
            Map.entry("example/v1", "$.apiVersion: \"chicorylane.example/v2\" is"),
            Map.entry("'name':'g'", "$.metadata.name: null is"));
    Map<String, String> replacements =
        Map.ofEntries(
            Map.entry("'port':1", "'port':0"),
            Map.entry("'slots':3", "'slots':'3'"),
            Map.entry("127.0.0.1", "localhost"),
            Map.entry("hall-a", "Hall A"),
            Map.entry("'connections':25", "'connections':3.5"),
            Map.entry("'initialPrimary':'a'", "'initialPrimary':'z'"),
            Map.entry("'database':'d',", ""),
            Map.entry("'user'", "'us er'"),
            Map.entry("DatabaseGroup", "DatabaseGrp"),
            Map.entry("example/v1", "example/v2"),
            Map.entry("'name':'g'", "'name':null"));
    for (String part : expectedFindings.keySet()) {
      String document = group("g", server("a", 1, 3)).replace(part, replacements.get(part));
      assertWithMessage(document).that(lines(document)).contains(expectedFindings.get(part));
    }
  }

  @Test
  void testReportsAllFindingsTogether() {
    String document =
        "{'apiVersion':'chicorylane.example/v1','kind':'RequestClass','metadata':{'name':'c'},"
            + "'spec':{'weight':0,'reservedSlots':-1,'repeatable':'no','colour':1}}";

    assertThat(findings(document)).hasSize(4);
  }

  @Test
  void testReportsDuplicatesWithinDocument() {
    String group = group("g", server("a", 1, 3) + "," + server("a", 1, 3));
    assertThat(lines(group)).contains("servers[1].name: server \"a\" is declared more than once");
    assertThat(lines(group)).contains("servers[1].port: 127.0.0.1:1 is declared more than once");

    String keys = readClass("r").replace("'spec':{", "'spec':{'maximumAgeMillis':1,");
    assertThat(lines(keys)).contains("$.spec.maximumAgeMillis: key \"maximumAgeMillis\" stands");
  }

  @Test
  void testNeverQuotesPassword() {
    String document = group("g", server("a", 1, 3)).replace("'pw'", "'se\\ncret'");

    assertThat(lines(document)).contains("$.spec.password");
    assertThat(lines(document)).doesNotContain("cret\"");
  }

  @Test
  void testReportsInconsistentDocumentsAndLeavesThemOut() {
    List<String> documents =
        json(
            group("g", server("a", 1, 3)),
            group("h", server("a", 1, 3)),
            requestClass("c", 2),
            requestClass("d", 1),
            readClass("r"),
            readClass("r"),
            objective("o", "unknown"));

    assertThat(DeclarationReader.assemble(1, documents)).isInstanceOf(AssemblyResult.Invalid.class);
    LenientAssembly lenient = DeclarationReader.assembleLenient(1, documents);
    assertThat(lenient.findings().stream().map(Finding::toLine))
        .containsExactly(
            "DatabaseGroup/h: 127.0.0.1:1 belongs to database group \"g\" already"
                + " at $.spec.servers[0].port",
            "ReadClass/r: \"r\" is declared more than once at $.metadata.name",
            "ServiceLevelObjective/o: request class \"unknown\" is not declared"
                + " at $.spec.requestClass",
            "DatabaseGroup/g: all request classes reserve 3 slots, more than 2 of 3"
                + " at $.spec.servers[0].slots");
    assertThat(lenient.declarations().groups().keySet()).containsExactly("g");
    assertThat(lenient.declarations().requestClasses()).hasSize(2);
  }

  @Test
  void testInvalidDocumentsDoNotAffectValidOnes() {
    LenientAssembly lenient =
        DeclarationReader.assembleLenient(1, json("{", readClass("r"), "[1,]", "", "{}{}"));

    assertThat(lenient.declarations().readClasses().keySet()).containsExactly("r");
    assertThat(lenient.findings().stream().map(Finding::source).distinct())
        .containsExactly("documents[0]", "documents[2]", "documents[3]", "documents[4]");
  }

  @Test
  void testCorruptedDocumentsNeverThrow() {
    Random random = new Random(20261203);
    String text = json(group("g", server("a", 1, 3))).get(0);
    for (int i = 0; i < 5_000; i++) {
      StringBuilder corrupted = new StringBuilder(text);
      for (int k = 0; k <= random.nextInt(4); k++) {
        int at = random.nextInt(corrupted.length());
        corrupted.replace(
            at, at + 1, String.valueOf("{}[]\",:09eE-\\ux ".charAt(random.nextInt(16))));
      }
      ReadResult result = DeclarationReader.read("seeded", corrupted.toString());
      if (result instanceof ReadResult.Invalid invalid) {
        assertThat(invalid.findings()).isNotEmpty();
      }
    }
  }

  private static Declarations valid(AssemblyResult result) {
    assertThat(result).isInstanceOf(AssemblyResult.Valid.class);
    return ((AssemblyResult.Valid) result).declarations();
  }

  private static List<Finding> findings(String document) {
    ReadResult result = DeclarationReader.read("test", json(document).get(0));
    assertThat(result).isInstanceOf(ReadResult.Invalid.class);
    return ((ReadResult.Invalid) result).findings();
  }

  private static String lines(String document) {
    StringBuilder lines = new StringBuilder();
    findings(document).forEach(f -> lines.append(f.path() + ": " + f.message() + "\n"));
    return lines.toString();
  }

  private static List<String> json(String... documents) {
    return Arrays.stream(documents).map(d -> d.replace('\'', '"')).toList();
  }

  private static String server(String name, int port, int slots) {
    return ("{'name':'%s','host':'127.0.0.1','port':%d,'availabilityZone':'hall-a','slots':%d,"
            + "'connections':25}")
        .formatted(name, port, slots);
  }

  private static String group(String name, String servers) {
    return document(
        "DatabaseGroup",
        name,
        "'database':'d','user':'u','password':'pw','initialPrimary':'a','servers':["
            + servers
            + "]");
  }

  private static String readClass(String name) {
    return document("ReadClass", name, "'maximumAgeMillis':5");
  }

  private static String requestClass(String name, int reserved) {
    return document("RequestClass", name, "'reservedSlots':" + reserved);
  }

  private static String objective(String name, String requestClass) {
    return document(
        "ServiceLevelObjective",
        name,
        "'requestClass':'" + requestClass + "','target':0.99,'latencyMillis':10");
  }

  private static String document(String kind, String name, String spec) {
    return "{'apiVersion':'chicorylane.example/v1','kind':'"
        + kind
        + "','metadata':{'name':'"
        + name
        + "'},'spec':{"
        + spec
        + "}}";
  }

  private static List<String> examples() throws IOException {
    List<String> documents = new ArrayList<>();
    Path directory = Path.of("..", "config", "example", "declarations");
    try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, "*.json")) {
      for (Path file : files) {
        documents.add(Files.readString(file));
      }
    }
    return documents;
  }
}

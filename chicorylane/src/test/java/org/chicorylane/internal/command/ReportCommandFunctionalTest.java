package org.chicorylane.internal.command;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.chicorylane.internal.report.BurnJson;
import org.chicorylane.internal.report.BurnReport;
import org.chicorylane.internal.report.GroupReads;
import org.chicorylane.internal.report.InstanceCoverage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the report command against HTTP servers that return prepared reports. Guards against a
 * merged report that silently lacks an instance or counts one twice.
 */
final class ReportCommandFunctionalTest {
  private static final Instant START = Instant.parse("2026-03-01T12:00:00Z");
  private static final String TOKEN = "operators-secret";

  private final List<HttpServer> servers = new ArrayList<>();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @AfterEach
  void stopServers() {
    servers.forEach(s -> s.stop(0));
  }

  @Test
  void testMergesReportsOfAllInstances() throws IOException {
    String first = startServer(200, reportOf("entry-1", 3, 1));
    String second = startServer(200, reportOf("entry-2", 4, 0));
    assertThat(run("burn", "--operator", first, "--operator", second + "/", "--token", TOKEN))
        .isEqualTo(ExitCode.OK);
    assertThat(out.toString(UTF_8)).contains("entry-1 counts since 2026-03-01T12:00:00Z");
    assertThat(out.toString(UTF_8)).contains("entry-2 counts since 2026-03-01T12:00:00Z");
    assertThat(out.toString(UTF_8)).containsMatch("plans +1 h +7 +1 +87.50 %");
  }

  @Test
  void testInstanceGivenTwiceIsCountedOnce() throws IOException {
    String url = startServer(200, reportOf("entry-1", 3, 1));
    run("burn", "--operator", url, "--operator", url, "--token", TOKEN, "--output", "json");
    assertThat(BurnJson.read(out.toString(UTF_8)).orElseThrow().reads().get(0).replica())
        .isEqualTo(3);
  }

  @Test
  void testPrintsNoReportUnlessAllInstancesAnswer() throws IOException {
    String workingUrl = startServer(200, reportOf("entry-1", 3, 1));
    for (String failingUrl :
        List.of(startServer(503, "{}"), startServer(200, "<html>"), "http://127.0.0.1:1", "x y")) {
      err.reset();
      assertThat(run("burn", "--operator", workingUrl, "--operator", failingUrl, "--token", TOKEN))
          .isEqualTo(ExitCode.UNAVAILABLE);
      assertThat(err.toString(UTF_8)).contains(failingUrl);
    }
    assertThat(run("burn", "--operator", workingUrl, "--token", "wrong"))
        .isEqualTo(ExitCode.UNAVAILABLE);
    assertThat(out.size()).isEqualTo(0);
  }

  @Test
  void testWritesHtmlPageToFile(@TempDir Path directory) throws IOException {
    Path file = directory.resolve("burn.html");
    String url = startServer(200, reportOf("entry-1", 3, 1));
    String[] arguments = {
      "burn", "--operator", url, "--token", TOKEN, "--output", "html", "--file", file.toString()
    };
    assertThat(run(arguments)).isEqualTo(ExitCode.OK);
    assertThat(Files.readString(file)).startsWith("<!DOCTYPE html>");
  }

  @Test
  void testRejectsInvalidCommandLines() {
    assertThat(run()).isEqualTo(ExitCode.USAGE);
    assertThat(run("brun")).isEqualTo(ExitCode.USAGE);
    assertThat(run("burn", "--output", "pdf")).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString(UTF_8)).contains("\"pdf\"");
  }

  private ExitCode run(String... arguments) {
    return new ReportCommand()
        .run(
            List.of(arguments),
            new PrintStream(out, true, UTF_8),
            new PrintStream(err, true, UTF_8));
  }

  private String startServer(int status, String body) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/v1/report/burn",
        exchange -> {
          String authorization = exchange.getRequestHeaders().getFirst("Authorization");
          byte[] bytes = body.getBytes(UTF_8);
          exchange.sendResponseHeaders(
              ("Bearer " + TOKEN).equals(authorization) ? status : 401, bytes.length);
          exchange.getResponseBody().write(bytes);
          exchange.close();
        });
    server.start();
    servers.add(server);
    return "http://127.0.0.1:" + server.getAddress().getPort();
  }

  private static String reportOf(String instance, long replica, long primary) {
    return BurnJson.write(
        new BurnReport(
            START,
            List.of(new InstanceCoverage(instance, START)),
            List.of(),
            List.of(),
            List.of(new GroupReads("plans", Duration.ofHours(1), replica, primary))));
  }
}

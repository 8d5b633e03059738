package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Follows the steps in docs/OPERATIONS.md from a failed request to its cause in recorded log lines.
 *
 * <p>Fails if a log event or field that these steps need is renamed, dropped, or no longer written
 * by the instance that logged the failed request.
 */
final class OperationsWalkTest {

  private static final Pattern LINE = Pattern.compile("(\\d+) (\\S+) (\\S+)(.*)");

  private final ModelFleet fleet = new ModelFleet(4);
  private final ModelClients clients = new ModelClients(fleet, new Random(1));

  /** A recorded log line. */
  private record Line(long millis, String instance, String event, String fields) {

    String field(String name) {
      Matcher m = Pattern.compile(" " + name + "=(.*?)(?= [a-z_]+=|$)").matcher(fields);
      return m.find() ? m.group(1) : "";
    }
  }

  @BeforeEach
  void begin() {
    fleet.logging = true;
    fleet.start();
  }

  private List<Line> lines() {
    return fleet.lines.stream()
        .map(LINE::matcher)
        .filter(Matcher::matches)
        .map(m -> new Line(Long.parseLong(m.group(1)), m.group(2), m.group(3), m.group(4)))
        .toList();
  }

  private long nowMillis() {
    return fleet.scheduler.millis() - 3_600_000;
  }

  private Line failedRequest(String event, String outcome, long since) {
    return lines().stream()
        .filter(l -> l.millis() >= since)
        .filter(l -> l.event().equals(event) && l.field("outcome").equals(outcome))
        .findFirst()
        .orElseThrow(() -> new AssertionError("no " + event + " ended as " + outcome));
  }

  /** Returns an instance's lines of an event about the group, up to a time. */
  private List<Line> groupEvents(String instance, String event, long untilMillis) {
    return lines().stream()
        .filter(l -> l.instance().equals(instance) && l.event().equals(event))
        .filter(l -> l.field("group").equals("plans") && l.millis() <= untilMillis)
        .toList();
  }

  @Test
  void testRefusalUnderLoadIsTracedToTheLostServers() {
    clients.begin(90);
    fleet.advance(2_000);
    final long since = nowMillis() + 50;
    fleet.group.server("server-b").crash();
    fleet.group.server("server-c").crash();
    fleet.advance(3_000);
    Line refused = failedRequest("statement", "OVERLOADED", since);
    assertThat(refused.field("request")).isNotEmpty();
    assertThat(refused.field("attempts")).isEqualTo("0");
    assertThat(Integer.parseInt(refused.field("queued"))).isAtLeast(1);
    assertThat(refused.field("reason")).contains("retry after");
    assertThat(groupEvents(refused.instance(), "server-lost", refused.millis() + 500)).hasSize(2);
  }

  @Test
  void testInDoubtOutcomeIsTracedToTheLostHome() {
    clients.begin(40);
    fleet.advance(2_000);
    String home = fleet.home().orElseThrow().name;
    fleet.home().orElseThrow().kill();
    fleet.advance(2_000);
    Line doubt = failedRequest("route", "IN_DOUBT", 0);
    assertThat(doubt.field("reason")).contains("the connection to the home of group plans");
    List<Line> lost = groupEvents(doubt.instance(), "home-lost", doubt.millis() + 100);
    assertThat(lost).isNotEmpty();
    assertThat(lost.get(0).field("home")).isEqualTo(home);
    assertThat(lost.get(0).field("refused")).isEqualTo("true");
  }

  @Test
  void testFailureDuringChangeOfPrimaryIsTracedThroughThePromotion() {
    // So many clients that the primary is running a write when it crashes.
    clients.begin(40);
    fleet.advance(2_000);
    fleet.group.server("server-a").crash();
    fleet.advance(4_000);
    Line failed = failedRequest("statement", "IN_DOUBT", 0);
    assertThat(failed.field("reason")).isEqualTo("server server-a did not answer");
    long from = failed.millis() - 100;
    long last = from;
    for (String event :
        List.of("server-lost", "primary-change", "promoting", "promotion-order", "primary")) {
      long since = last;
      Line step =
          groupEvents(failed.instance(), event, Long.MAX_VALUE).stream()
              .filter(l -> l.millis() >= since)
              .findFirst()
              .orElseThrow(() -> new AssertionError("no " + event + " after " + since));
      last = step.millis();
    }
    assertWithMessage("ms from the failure to the new primary")
        .that(last - failed.millis())
        .isLessThan(1_300);
  }
}

package org.chicorylane.internal.runtime;

import static com.google.common.truth.Truth.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * Guards against a log that floods its reader, hides failures behind successes, omits lines without
 * saying so, or blocks the instance's thread when the stream blocks.
 */
final class JsonLineLogTest {

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final JsonLineLog log = new JsonLineLog(scheduler, out, "i1", 8);

  private List<JsonObject> lines() {
    log.drain();
    return out.toString(StandardCharsets.UTF_8)
        .lines()
        .map(l -> JsonParser.parseString(l).getAsJsonObject())
        .toList();
  }

  @Test
  void testLineHoldsFieldsAndEscapesText() {
    log.event(DecisionLog.Priority.BELIEF, "home").with("group", "a\"b\n").with("epoch", 3).write();
    JsonObject line = lines().get(0);
    assertThat(line.get("event").getAsString()).isEqualTo("home");
    assertThat(line.get("group").getAsString()).isEqualTo("a\"b\n");
    assertThat(line.get("epoch").getAsInt()).isEqualTo(3);
    assertThat(line.get("instance").getAsString()).isEqualTo("i1");
  }

  @Test
  void testQuarterOfBudgetIsReservedForFailuresAndOmissionsAreCounted() {
    for (int i = 0; i < 20; i++) {
      log.event(DecisionLog.Priority.SUCCESS, "done").write();
    }
    for (int i = 0; i < 2; i++) {
      log.event(DecisionLog.Priority.FAILURE, "failed").write();
    }
    List<JsonObject> lines = lines();
    assertThat(lines.stream().filter(l -> l.get("event").getAsString().equals("done")).count())
        .isEqualTo(6);
    assertThat(lines.get(6).get("omitted").getAsInt()).isEqualTo(14);
    assertThat(lines).hasSize(8);
  }

  @Test
  void testBeliefLinesAreLimitedToFourBudgets() {
    for (int i = 0; i < 1_000; i++) {
      log.event(DecisionLog.Priority.BELIEF, "home").write();
    }
    scheduler.advance(Duration.ofSeconds(1));
    log.event(DecisionLog.Priority.BELIEF, "home").write();
    List<JsonObject> lines = lines();
    assertThat(lines).hasSize(33);
    assertThat(lines.get(32).get("omitted").getAsInt()).isEqualTo(968);
  }

  @Test
  void testTimeFieldIsSystemTime() {
    long before = System.currentTimeMillis();
    log.event(DecisionLog.Priority.BELIEF, "home").write();
    long after = System.currentTimeMillis();
    long written = Instant.parse(lines().get(0).get("time").getAsString()).toEpochMilli();
    assertThat(written).isAtLeast(before);
    assertThat(written).isAtMost(after);
  }

  @Test
  void testBudgetIsRenewedEachSecond() {
    for (int second = 0; second < 3; second++) {
      for (int i = 0; i < 20; i++) {
        log.event(DecisionLog.Priority.FAILURE, "failed").write();
      }
      scheduler.advance(Duration.ofSeconds(1));
    }
    assertThat(lines()).hasSize(24);
  }

  @Test
  void testBlockedStreamDoesNotBlockCaller() {
    CountDownLatch release = new CountDownLatch(1);
    OutputStream stuck =
        new OutputStream() {
          @Override
          public void write(int b) {
            try {
              release.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          }
        };
    JsonLineLog blocked = new JsonLineLog(scheduler, stuck, "i1", 8);
    String text = "x".repeat(10_000);
    int written = 0;
    for (int i = 0; i < 1_000; i++) {
      DecisionLog.Line line = blocked.event(DecisionLog.Priority.BELIEF, "many");
      written += line instanceof DiscardedLine ? 0 : 1;
      line.with("text", text).write();
      scheduler.advance(Duration.ofMillis(200));
    }
    assertThat(written).isLessThan(110);
    release.countDown();
  }

  @Test
  void testTimeHasSecondsAtFullMinute() {
    assertThat(JsonLineLog.formatSecond(1_796_342_400L)).isEqualTo("2026-12-04T00:00:00");
    assertThat(JsonLineLog.formatSecond(1_796_342_461L)).isEqualTo("2026-12-04T00:01:01");
  }
}

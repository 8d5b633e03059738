package org.chicorylane.internal.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.chicorylane.internal.passthrough.Answer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against servers that run statements for nobody: a fifth of the clients leave within half
 * their target while there is too little room ({@code give_up}). Runs in virtual time with fixed
 * seeds.
 */
final class GiveUpLoadTest {

  private static final int TARGET_MILLIS = 250;

  private final PoolFixture fixture = new PoolFixture();
  private final Set<String> arrived = new HashSet<>();
  private int answered;

  /** Submits a read and returns the handler under which it can be dropped. */
  private WorkHandler submit(String id) {
    WorkHandler handler =
        new WorkHandler() {
          @Override
          public void onAnswer(Answer answer) {
            answered++;
          }

          @Override
          public void onNotHome() {
            throw new AssertionError(id);
          }
        };
    fixture.pool.submit(this, PoolFixture.read(id), handler);
    return handler;
  }

  private void slowServers() {
    for (String id : new String[] {"server-a", "server-b", "server-c"}) {
      fixture.group.server(id).work = Duration.ofMillis(40);
    }
    fixture.group.arrivalListener = (server, requestId, sender) -> arrived.add(requestId);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void testNoStatementIsSentAfterItsClientLeft(long seed) {
    slowServers();
    Random random = new Random(seed);
    Set<String> dropped = new HashSet<>();
    for (int i = 0; i < 2_000; i++) {
      String id = "r" + i;
      WorkHandler handler = submit(id);
      if (random.nextInt(5) == 0) {
        fixture.scheduler.schedule(
            Duration.ofMillis(random.nextInt(TARGET_MILLIS / 2)),
            () -> {
              int queued = fixture.pool.queueSize();
              fixture.pool.drop(handler);
              if (fixture.pool.queueSize() < queued) {
                dropped.add(id);
              }
            });
      }
      fixture.advance(4);
    }
    fixture.advance(5_000);
    assertThat(dropped.size()).isGreaterThan(50);
    assertThat(arrived).containsNoneIn(dropped);
    assertThat(answered).isEqualTo(2_000 - dropped.size());
    assertThat(fixture.pool.isIdle()).isTrue();
  }

  @Test
  void testDroppedStatementIsNotAnswered() {
    slowServers();
    for (int i = 0; i < 40; i++) {
      submit("r" + i);
    }
    WorkHandler last = submit("last");
    fixture.pool.drop(last);
    fixture.advance(3_000);
    assertThat(answered).isEqualTo(40);
    assertThat(arrived).doesNotContain("last");
  }

  @Test
  void testStatementThatWasSentIsLeftToFinish() {
    slowServers();
    WorkHandler handler = submit("r");
    fixture.advance(25);
    fixture.pool.drop(handler);
    fixture.advance(1_000);
    assertThat(answered).isEqualTo(1);
  }

  @Test
  void testDroppingOneStatementKeepsTheOthers() {
    slowServers();
    for (int i = 0; i < 20; i++) {
      submit("r" + i);
    }
    int before = fixture.pool.queueSize();
    WorkHandler dropped = submit("dropped");
    submit("kept");
    fixture.pool.drop(dropped);
    assertThat(fixture.pool.queueSize()).isEqualTo(before + 1);
    fixture.advance(3_000);
    assertThat(arrived).contains("kept");
  }
}

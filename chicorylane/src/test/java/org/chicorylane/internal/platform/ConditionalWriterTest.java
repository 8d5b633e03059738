package org.chicorylane.internal.platform;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

final class ConditionalWriterTest {

  private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
  private Runnable duringPause = () -> {};
  private final ConditionalWriter settled =
      new ConditionalWriter(
          store,
          d -> {
            duringPause.run();
            return CompletableFuture.completedFuture(null);
          });

  @Test
  void testAppliedThenOverwrittenIsStillApplied() {
    long first = write(0, "a");
    store.loseNextAnswers(1);
    duringPause = once(() -> write(first + 1, "someone else"));
    assertThat(settled.swap("/k", first, "by w1", "w1").join())
        .isEqualTo(new ConditionalWriteResult.Applied(first + 1));
  }

  @Test
  void testLostRequestIsSentAgain() {
    long first = write(0, "a");
    store.loseNextRequests(2);
    assertThat(settled.swap("/k", first, "by w1", "w1").join())
        .isEqualTo(new ConditionalWriteResult.Applied(first + 1));
  }

  @Test
  void testLostRequestAndAnotherWriterIsConflict() {
    long first = write(0, "a");
    store.loseNextRequests(1);
    duringPause = once(() -> write(first, "someone else"));
    assertThat(settled.swap("/k", first, "by w1", "w1").join())
        .isEqualTo(
            new ConditionalWriteResult.Conflict(
                List.of(new KeyValueEntry("/k", "someone else", first + 1))));
  }

  @Test
  void testLostCreationIsNotSentAgain() {
    store.loseNextRequests(1);
    assertThat(settled.swap("/k", 0, "by w1", "w1").join())
        .isInstanceOf(ConditionalWriteResult.Unsettled.class);
    assertThat(store.engine().revision()).isEqualTo(1);
  }

  @Test
  void testStoreThatStaysUnreachableIsUnsettled() {
    store.setDown(true);
    assertThat(settled.swap("/k", 0, "by w1", "w1").join())
        .isInstanceOf(ConditionalWriteResult.Unsettled.class);
  }

  @Test
  void testCountsEveryIncrementExactlyOnceUnderFaults() {
    for (int seed = 0; seed < 500; seed++) {
      incrementUnderFaults(seed);
    }
  }

  private void incrementUnderFaults(int seed) {
    Random random = new Random(seed);
    InMemoryKeyValueStore faulty = new InMemoryKeyValueStore();
    ConditionalWriter swap =
        new ConditionalWriter(
            faulty,
            d -> {
              strike(faulty, random);
              return CompletableFuture.completedFuture(null);
            });
    long seen = applied(faulty.compareAndSwap("/n", 0, "0 start"));
    int counted = 0;
    for (int i = 0; i < 20; i++) {
      strike(faulty, random);
      String id = "<" + i + ">";
      ConditionalWriteResult result = swap.swap("/n", seen, (counted + 1) + " " + id, id).join();
      faulty.setDown(false);
      String now = read(faulty).value();
      if (result instanceof ConditionalWriteResult.Applied) {
        counted++;
        assertThat(now).isEqualTo(counted + " " + id);
      } else {
        assertThat(result).isInstanceOf(ConditionalWriteResult.Unsettled.class);
        counted = Integer.parseInt(now.substring(0, now.indexOf(' ')));
      }
      seen = read(faulty).modRevision();
      assertThat(seen).isEqualTo(counted + 2L);
    }
  }

  private static void strike(InMemoryKeyValueStore store, Random random) {
    store.setDown(random.nextInt(4) == 0);
    store.loseNextAnswers(random.nextInt(2));
    store.loseNextRequests(random.nextInt(2));
  }

  private static KeyValueEntry read(KeyValueStore store) {
    return ((ReadResult.Read) store.get("/n").join()).first().orElseThrow();
  }

  private static Runnable once(Runnable action) {
    boolean[] ran = {false};
    return () -> {
      if (!ran[0]) {
        ran[0] = true;
        action.run();
      }
    };
  }

  private long write(long expected, String value) {
    return applied(store.compareAndSwap("/k", expected, value));
  }

  private static long applied(CompletableFuture<WriteResult> result) {
    return ((WriteResult.Applied) result.join()).revision();
  }
}

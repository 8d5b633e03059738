package org.chicorylane.internal.platform;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Guards against a write that takes effect twice or is reported with the wrong outcome. Both can
 * happen when the store loses a request or an answer and another client changes the key meanwhile.
 */
final class ConditionalWriterTest {

  private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
  private Runnable duringPause = () -> {};
  private final ConditionalWriter writer =
      new ConditionalWriter(
          store,
          d -> {
            duringPause.run();
            return CompletableFuture.completedFuture(null);
          });

  @Test
  void testWriteOverwrittenByOtherClientIsStillApplied() {
    long first = writeDirectly(0, "a");
    store.loseNextAnswers(1);
    duringPause = runOnce(() -> writeDirectly(first + 1, "someone else"));
    assertThat(writer.swap("/k", first, "by w1", "w1").join())
        .isEqualTo(new ConditionalWriteResult.Applied(first + 1));
  }

  @Test
  void testLostRequestIsSentAgain() {
    long first = writeDirectly(0, "a");
    store.loseNextRequests(2);
    assertThat(writer.swap("/k", first, "by w1", "w1").join())
        .isEqualTo(new ConditionalWriteResult.Applied(first + 1));
  }

  @Test
  void testLostRequestOvertakenByOtherClientIsConflict() {
    long first = writeDirectly(0, "a");
    store.loseNextRequests(1);
    duringPause = runOnce(() -> writeDirectly(first, "someone else"));
    assertThat(writer.swap("/k", first, "by w1", "w1").join())
        .isEqualTo(
            new ConditionalWriteResult.Conflict(
                List.of(new KeyValueEntry("/k", "someone else", first + 1))));
  }

  @Test
  void testLostCreationIsNotSentAgain() {
    store.loseNextRequests(1);
    assertThat(writer.swap("/k", 0, "by w1", "w1").join())
        .isInstanceOf(ConditionalWriteResult.Unsettled.class);
    assertThat(store.engine().revision()).isEqualTo(1);
  }

  @Test
  void testStoreThatStaysUnreachableIsUnsettled() {
    store.setDown(true);
    assertThat(writer.swap("/k", 0, "by w1", "w1").join())
        .isInstanceOf(ConditionalWriteResult.Unsettled.class);
  }

  @Test
  void testEveryIncrementCountsExactlyOnceUnderFaults() {
    for (int seed = 0; seed < 500; seed++) {
      incrementUnderFaults(seed);
    }
  }

  private void incrementUnderFaults(int seed) {
    Random random = new Random(seed);
    InMemoryKeyValueStore faulty = new InMemoryKeyValueStore();
    ConditionalWriter faultyWriter =
        new ConditionalWriter(
            faulty,
            d -> {
              injectFaults(faulty, random);
              return CompletableFuture.completedFuture(null);
            });
    long seen = requireApplied(faulty.compareAndSwap("/n", 0, "0 start"));
    int counted = 0;
    for (int i = 0; i < 20; i++) {
      injectFaults(faulty, random);
      String id = "<" + i + ">";
      ConditionalWriteResult result =
          faultyWriter.swap("/n", seen, (counted + 1) + " " + id, id).join();
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

  private static void injectFaults(InMemoryKeyValueStore store, Random random) {
    store.setDown(random.nextInt(4) == 0);
    store.loseNextAnswers(random.nextInt(2));
    store.loseNextRequests(random.nextInt(2));
  }

  private static KeyValueEntry read(KeyValueStore store) {
    return ((ReadResult.Read) store.get("/n").join()).first().orElseThrow();
  }

  private static Runnable runOnce(Runnable action) {
    boolean[] ran = {false};
    return () -> {
      if (!ran[0]) {
        ran[0] = true;
        action.run();
      }
    };
  }

  private long writeDirectly(long expected, String value) {
    return requireApplied(store.compareAndSwap("/k", expected, value));
  }

  /** Returns the revision of a write that must have taken effect. */
  private static long requireApplied(CompletableFuture<WriteResult> result) {
    return ((WriteResult.Applied) result.join()).revision();
  }
}

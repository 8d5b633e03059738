package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.chicorylane.internal.mesh.generated.MeshReply;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.WatchListener;
import org.chicorylane.internal.runtime.VirtualScheduler;
import org.junit.jupiter.api.Test;

/**
 * Tests the relay of the store's changes to other instances. Guards against a change that a
 * follower never sees, and against questions that wait for ever.
 */
final class RelayedPrefixTest {

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final RelayedPrefix prefix = new RelayedPrefix(scheduler);
  private final List<MeshReply> replies = new ArrayList<>();

  private static WatchListener.Change change(String key, long revision, boolean deleted) {
    return new WatchListener.Change(new KeyValueEntry(key, "value-" + key, revision), deleted);
  }

  private void load() {
    prefix.setCurrent(true);
    prefix.onAll(List.of(new KeyValueEntry("a", "value-a", 5)), 10);
  }

  private void ask(long revision) {
    prefix.ask(revision, reply -> replies.add(reply.build()));
  }

  @Test
  void testQuestionWaitsForTheNextChange() {
    load();
    ask(10);
    assertThat(replies).isEmpty();
    prefix.onChanges(List.of(change("b", 11, false)), 11);
    assertThat(StoreMessages.decodeChanges(replies.get(0))).containsExactly(change("b", 11, false));
    assertThat(replies.get(0).getRevision()).isEqualTo(11);
  }

  @Test
  void testMissedChangesAreSentAtOnceAndInOrder() {
    load();
    prefix.onChanges(List.of(change("b", 11, false)), 11);
    prefix.onChanges(List.of(change("a", 12, true)), 12);
    ask(10);
    assertThat(StoreMessages.decodeChanges(replies.get(0)))
        .containsExactly(change("b", 11, false), change("a", 12, true))
        .inOrder();
    ask(11);
    assertThat(StoreMessages.decodeChanges(replies.get(1))).containsExactly(change("a", 12, true));
  }

  @Test
  void testFollowerFromBeforeTheFirstReadIsSentAllEntries() {
    load();
    prefix.onChanges(List.of(change("b", 11, false)), 11);
    ask(9);
    assertThat(StoreMessages.hasAll(replies.get(0))).isTrue();
    assertThat(StoreMessages.decodeAll(replies.get(0)))
        .containsExactly(
            new KeyValueEntry("a", "value-a", 5), new KeyValueEntry("b", "value-b", 11));
    assertThat(replies.get(0).getRevision()).isEqualTo(11);
  }

  @Test
  void testFollowerThatLacksMoreChangesThanAreKeptIsSentAllEntries() {
    load();
    for (int i = 0; i < 300; i++) {
      prefix.onChanges(List.of(change("b", 11 + i, false)), 11 + i);
    }
    ask(10);
    assertThat(StoreMessages.hasAll(replies.get(0))).isTrue();
  }

  @Test
  void testWaitEndsWithoutChangesAtTheRevisionOfTheQuestion() {
    load();
    ask(10);
    scheduler.advance(Duration.ofMillis(10_100));
    prefix.tick();
    assertThat(replies.get(0).getYes()).isTrue();
    assertThat(replies.get(0).getResultsCount()).isEqualTo(0);
    assertThat(replies.get(0).getRevision()).isEqualTo(10);
  }

  @Test
  void testWaitingQuestionsAreRefusedWhenTheWatchIsInterrupted() {
    load();
    ask(10);
    prefix.setCurrent(false);
    assertThat(replies.get(0).getYes()).isFalse();
    ask(10);
    assertThat(replies.get(1).getYes()).isFalse();
  }

  // Guards against a follower that keeps an old entry: a read through another instance may be newer
  // than the watch that goes on after it.
  @Test
  void testChangeFromBeforeTheReadDoesNotReplaceItsEntry() {
    load();
    KeyValueEntry newer = new KeyValueEntry("a", "newer", 20);
    prefix.onAll(List.of(newer), 25);
    prefix.onChanges(List.of(change("a", 12, false), change("b", 13, false)), 13);
    ask(9);
    assertThat(StoreMessages.decodeAll(replies.get(0))).containsExactly(newer);
    assertThat(replies.get(0).getRevision()).isEqualTo(25);
  }
}

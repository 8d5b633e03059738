package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.chicorylane.internal.mesh.generated.MeshReply;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.WatchListener;
import org.chicorylane.internal.runtime.Scheduler;

/**
 * The entries under a prefix and their latest changes, for the instances that follow this one
 * instead of watching the key-value store. Questions wait for a change, as the store's watches do.
 *
 * <p>Confined to the instance's thread.
 */
final class RelayedPrefix {

  /** Changes that are kept; an instance that lacks more than these is sent all entries. */
  private static final int MAXIMUM_CHANGES = 256;

  /** How long a question waits for a change. */
  private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(10);

  /** A question that waits for a change after {@code revision}. */
  private record Question(long revision, long askedNanos, Consumer<MeshReply.Builder> reply) {}

  private final Scheduler scheduler;
  private final TreeMap<String, KeyValueEntry> entries = new TreeMap<>();
  private final Deque<WatchListener.Change> changes = new ArrayDeque<>();
  private List<Question> waiting = new ArrayList<>();

  /** The revision after which {@link #changes} has all changes. */
  private long firstRevision;

  /** The revision up to which the entries are known. */
  private long revision;

  private boolean current;

  RelayedPrefix(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Sets whether this instance watches the store now; if not, questions are refused. */
  void setCurrent(boolean isCurrent) {
    current = isCurrent;
    if (!current) {
      answerAll(q -> q.reply().accept(refusal()));
    }
  }

  /** Returns whether questions wait for a change. */
  boolean isAsked() {
    return !waiting.isEmpty();
  }

  /** Replaces all entries after a complete read. */
  void onAll(List<KeyValueEntry> read, long atRevision) {
    entries.clear();
    read.forEach(e -> entries.put(e.key(), e));
    changes.clear();
    firstRevision = atRevision;
    revision = atRevision;
    answerAll(this::answerOrWait);
  }

  /** Applies the changes that are not known yet, up to {@code toRevision}. */
  void onChanges(List<WatchListener.Change> reported, long toRevision) {
    for (WatchListener.Change change : reported) {
      if (change.entry().modRevision() <= revision) {
        // The last read came through another instance and was newer than this watch.
        continue;
      }
      changes.addLast(change);
      if (change.deleted()) {
        entries.remove(change.entry().key());
      } else {
        entries.put(change.entry().key(), change.entry());
      }
    }
    while (changes.size() > MAXIMUM_CHANGES) {
      firstRevision = changes.removeFirst().entry().modRevision();
    }
    revision = Math.max(revision, toRevision);
    answerAll(this::answerOrWait);
  }

  /**
   * Answers with the changes after a revision, at once or as soon as there are any, or with all
   * entries if the changes are not known.
   */
  void ask(long afterRevision, Consumer<MeshReply.Builder> reply) {
    if (current) {
      answerOrWait(new Question(afterRevision, scheduler.nanoTime(), reply));
    } else {
      reply.accept(refusal());
    }
  }

  /** Ends the wait of questions that have waited for long enough; called at short intervals. */
  void tick() {
    if (!waiting.isEmpty()) {
      answerAll(this::answerOrWait);
    }
  }

  private void answerOrWait(Question question) {
    if (question.revision() < firstRevision) {
      question.reply().accept(StoreMessages.encodeAll(entries.values(), revision));
      return;
    }
    List<WatchListener.Change> missing =
        changes.stream().filter(c -> c.entry().modRevision() > question.revision()).toList();
    if (!missing.isEmpty()) {
      question.reply().accept(StoreMessages.encodeChanges(missing, revision));
    } else if (scheduler.nanoTime() - question.askedNanos() > MAXIMUM_WAIT.toNanos()) {
      question.reply().accept(StoreMessages.encodeChanges(List.of(), question.revision()));
    } else {
      waiting.add(question);
    }
  }

  /** Returns the reply of an instance that does not watch the store, or whose watch has failed. */
  private static MeshReply.Builder refusal() {
    return MeshReply.newBuilder().setYes(false);
  }

  private void answerAll(Consumer<Question> answer) {
    List<Question> questions = waiting;
    waiting = new ArrayList<>();
    questions.forEach(answer);
  }
}

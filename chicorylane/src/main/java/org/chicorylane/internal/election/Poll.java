package org.chicorylane.internal.election;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.chicorylane.internal.topology.PeerInstance;
import org.jspecify.annotations.Nullable;

/** Asks several instances one question and waits for the first yes or for all replies. */
final class Poll {

  /** Receives the outcome of a poll. */
  interface Outcome {
    /**
     * Called once when the poll has ended.
     *
     * @param answeredYes the first instance that answered yes, null if none did
     * @param noCount the number of instances that answered no
     */
    void onDone(@Nullable PeerInstance answeredYes, int noCount);
  }

  private final Outcome outcome;
  private int pendingReplies;
  private int noCount;
  private boolean done;

  private Poll(int pendingReplies, Outcome outcome) {
    this.pendingReplies = pendingReplies;
    this.outcome = outcome;
  }

  static void ask(
      List<PeerInstance> instances,
      BiConsumer<PeerInstance, Consumer<PeerClient.PeerReply>> question,
      Outcome outcome) {
    Poll poll = new Poll(instances.size(), outcome);
    if (instances.isEmpty()) {
      outcome.onDone(null, 0);
    }
    instances.forEach(peer -> question.accept(peer, reply -> poll.onReply(peer, reply)));
  }

  private void onReply(PeerInstance peer, PeerClient.PeerReply reply) {
    pendingReplies--;
    if (done) {
      return;
    }
    if (reply == PeerClient.PeerReply.YES) {
      done = true;
      outcome.onDone(peer, noCount);
      return;
    }
    noCount += reply == PeerClient.PeerReply.NO ? 1 : 0;
    if (pendingReplies == 0) {
      done = true;
      outcome.onDone(null, noCount);
    }
  }
}

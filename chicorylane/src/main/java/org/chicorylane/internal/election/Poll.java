package org.chicorylane.internal.election;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.chicorylane.internal.topology.PeerInstance;
import org.jspecify.annotations.Nullable;

/** Asks several instances one question and waits for all answers, or the first yes. */
final class Poll {

  /** Takes the outcome. */
  interface Outcome {
    /**
     * The poll is over.
     *
     * @param yes an instance that said yes, null if none did
     * @param no how many said no
     */
    void onDone(@Nullable PeerInstance yes, int no);
  }

  private final Outcome outcome;
  private int open;
  private int no;
  private boolean done;

  private Poll(int open, Outcome outcome) {
    this.open = open;
    this.outcome = outcome;
  }

  static void ask(
      List<PeerInstance> peers,
      BiConsumer<PeerInstance, Consumer<PeerClient.PeerReply>> question,
      Outcome outcome) {
    Poll poll = new Poll(peers.size(), outcome);
    if (peers.isEmpty()) {
      outcome.onDone(null, 0);
    }
    peers.forEach(peer -> question.accept(peer, verdict -> poll.take(peer, verdict)));
  }

  private void take(PeerInstance peer, PeerClient.PeerReply verdict) {
    open--;
    if (done) {
      return;
    }
    if (verdict == PeerClient.PeerReply.YES) {
      done = true;
      outcome.onDone(peer, no);
      return;
    }
    no += verdict == PeerClient.PeerReply.NO ? 1 : 0;
    if (open == 0) {
      done = true;
      outcome.onDone(null, no);
    }
  }
}

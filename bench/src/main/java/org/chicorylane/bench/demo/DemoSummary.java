package org.chicorylane.bench.demo;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import org.jspecify.annotations.Nullable;

/**
 * What a run of the demo came to.
 *
 * @param statements requests that callers sent, retries included
 * @param reads reads that were answered
 * @param replicaReadShare the share of them that replicas served, from 0 to 1
 * @param writesAcknowledged inserts that callers were told have landed
 * @param writesUnresolved writes whose callers gave up without a clear answer
 * @param writesLost acknowledged inserts that the newest primary does not have
 * @param writesDoubled inserts that it has more than once
 * @param staleReads reads that did not show their session's own last acknowledged write
 * @param mixedAnswers answers that belonged to another request
 * @param notRunButRan inserts that were committed although the caller was told otherwise
 * @param failoverGapMillis from the kill to the acknowledgement of the first write that was sent
 *     after it; null if nothing was killed
 * @param p50Millis the median latency
 * @param p99Millis the latency that 99 of 100 answers keep
 */
record DemoSummary(
    long statements,
    long reads,
    double replicaReadShare,
    long writesAcknowledged,
    long writesUnresolved,
    long writesLost,
    long writesDoubled,
    long staleReads,
    long mixedAnswers,
    long notRunButRan,
    @Nullable Long failoverGapMillis,
    double p50Millis,
    double p99Millis) {
  private static final Gson GSON = new GsonBuilder().serializeNulls().create();

  /** Returns whether every promise held and writes landed at all. */
  boolean promisesHeld() {
    return writesLost == 0
        && writesDoubled == 0
        && staleReads == 0
        && mixedAnswers == 0
        && notRunButRan == 0
        && writesAcknowledged > 0;
  }

  String toJson() {
    return GSON.toJson(this);
  }
}

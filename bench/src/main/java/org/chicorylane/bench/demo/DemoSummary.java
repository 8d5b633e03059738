package org.chicorylane.bench.demo;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import org.jspecify.annotations.Nullable;

/**
 * The result of a demo run.
 *
 * @param statements requests that callers sent, including retries
 * @param reads reads that were answered
 * @param replicaReadShare the fraction of those reads that replicas served, from 0 to 1
 * @param writesAcknowledged inserts that were acknowledged to callers
 * @param writesUnresolved writes that may have run and whose callers stopped retrying
 * @param writesLost acknowledged inserts that are missing from the log of the newest primary
 * @param writesDoubled inserts that are in that log more than once
 * @param staleReads reads that showed a version older than the session's last acknowledged write,
 *     or newer than its last attempted one
 * @param mixedAnswers answers that contained the rows of another request
 * @param notRunButRan inserts that were committed although they were reported as not run
 * @param failoverGapMillis the time from the kill to the acknowledgement of the first write that
 *     was sent after it; if there was none, to the end of the run; null if no primary was killed
 * @param p50Millis the median latency of completed requests
 * @param p99Millis the 99th percentile of their latency
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

  /** Returns whether there was no violation and at least one acknowledged insert. */
  boolean guaranteesHeld() {
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

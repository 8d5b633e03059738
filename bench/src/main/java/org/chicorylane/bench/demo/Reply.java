package org.chicorylane.bench.demo;

import java.time.Duration;
import java.util.List;

/**
 * The answer that a caller received to one request.
 *
 * @param outcome the outcome that the answer states
 * @param rows the rows of the request's only statement, as text; empty if it did not complete
 * @param fromReplica whether a replica served the request
 * @param retryAfter how long to wait before a retry; zero if the answer states nothing
 * @param detail a human-readable description of the problem; empty if there was none
 * @param latency the time from sending the request to the answer or the failure
 */
public record Reply(
    Outcome outcome,
    List<List<String>> rows,
    boolean fromReplica,
    Duration retryAfter,
    String detail,
    Duration latency) {

  /** Whether a request was executed. */
  public enum Outcome {
    /** The request ran and its effects are acknowledged. */
    COMPLETED("completed"),
    /** The request was not run. */
    NOT_RUN("not-run"),
    /** The database rejected the request. */
    REJECTED("rejected"),
    /** The request may have run; also used if no readable answer arrived. */
    UNKNOWN("unknown");

    private final String text;

    Outcome(String text) {
      this.text = text;
    }

    static Outcome of(String text) {
      for (Outcome o : values()) {
        if (o.text.equals(text)) {
          return o;
        }
      }
      throw new IllegalStateException("unknown outcome in an answer: \"" + text + "\"");
    }
  }

  static Reply unknown(String detail, Duration latency) {
    return new Reply(Outcome.UNKNOWN, List.of(), false, Duration.ZERO, detail, latency);
  }
}

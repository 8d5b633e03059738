package org.chicorylane.bench.demo;

import java.time.Duration;
import java.util.List;

/**
 * What a caller was told.
 *
 * @param fate what became of the request, in the answer's words
 * @param rows the rows of its only statement, as text
 * @param fromReplica whether a replica served it
 * @param retryAfter when to come back
 * @param detail the problem, for people; empty if there was none
 * @param took how long the answer took
 */
public record Reply(
    Fate fate,
    List<List<String>> rows,
    boolean fromReplica,
    Duration retryAfter,
    String detail,
    Duration took) {

  /** What an answer says about its request. */
  public enum Fate {
    /** It ran and is acknowledged. */
    COMPLETED("completed"),
    /** It was not run. */
    NOT_RUN("not-run"),
    /** The database refused it. */
    REJECTED("rejected"),
    /** Whether it ran cannot be told; also when no answer came. */
    UNKNOWN("unknown");

    private final String text;

    Fate(String text) {
      this.text = text;
    }

    static Fate of(String text) {
      for (Fate f : values()) {
        if (f.text.equals(text)) {
          return f;
        }
      }
      throw new IllegalStateException("an answer with outcome \"" + text + "\"");
    }
  }

  static Reply broken(String detail, Duration took) {
    return new Reply(Fate.UNKNOWN, List.of(), false, Duration.ZERO, detail, took);
  }
}

package org.chicorylane.internal.runtime;

/**
 * Structured log of decisions, one JSON object a line, for the engineers who explain a failure
 * afterwards.
 *
 * <pre>{@code
 * log.event(DecisionLog.Priority.FAILURE, "refused").with("request", id).with("queued", n).write();
 * }</pre>
 *
 * <p>Never blocks: lines over the budget are counted and left out, successes first. Confined to the
 * instance's thread.
 */
public interface DecisionLog {

  /** How much a line matters when the budget runs short. */
  enum Priority {
    /** A request that went well. */
    SUCCESS,
    /** A request that was refused, failed or is in doubt. */
    FAILURE,
    /** Start, stop, and changes of what the instance believes. */
    BELIEF
  }

  /** Begins a line about {@code event}. */
  Line event(Priority priority, String event);

  /** A line in the making. */
  interface Line {
    /** Adds a text. */
    Line with(String name, @org.jspecify.annotations.Nullable Object value);

    /** Adds a number. */
    Line with(String name, long value);

    /** Writes the line, unless the budget is spent. */
    void write();
  }

  /** Returns a log that keeps nothing. */
  static DecisionLog none() {
    return (priority, event) -> NoLine.INSTANCE;
  }
}

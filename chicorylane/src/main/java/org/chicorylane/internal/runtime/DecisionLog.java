package org.chicorylane.internal.runtime;

/**
 * A structured log of the decisions of an instance, one JSON object per line, for engineers who
 * analyze a failure afterwards.
 *
 * <pre>{@code
 * log.event(DecisionLog.Priority.FAILURE, "refused").with("request", id).with("queued", n).write();
 * }</pre>
 *
 * <p>Never blocks. The log is rate limited: lines beyond the budget are omitted and counted, lines
 * about successes first. Confined to the instance's thread.
 */
public interface DecisionLog {

  /** The priority of a line when the budget is nearly used up, lowest first. */
  enum Priority {
    /** A request that succeeded. */
    SUCCESS,
    /** A request that was refused, failed or has an unknown outcome. */
    FAILURE,
    /** Start, stop, and changes of the instance's view of the system. */
    BELIEF
  }

  /** Starts a line for {@code event}. */
  Line event(Priority priority, String event);

  /** A line under construction. */
  interface Line {
    /** Adds a text field; null adds nothing. */
    Line with(String name, @org.jspecify.annotations.Nullable Object value);

    /** Adds a number field. */
    Line with(String name, long value);

    /** Writes the line, unless it was omitted because the budget is used up. */
    void write();
  }

  /** Returns a log that discards all lines. */
  static DecisionLog none() {
    return (priority, event) -> DiscardedLine.INSTANCE;
  }
}

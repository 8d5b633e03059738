package org.chicorylane.internal.command;

/** The exit codes of the program. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /**
   * The command ran and its result is negative: a guarantee was violated, a difference was found, a
   * resource does not exist, or a wait timed out.
   */
  NEGATIVE(1),
  /** The command line or a document is invalid; nothing was done. */
  USAGE(2),
  /** An instance could not be reached, could not serve the request or could not start. */
  UNAVAILABLE(3),
  /** Another operator has changed the same resource in the meantime. */
  CONFLICT(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the exit code as a number. */
  public int code() {
    return code;
  }
}

package org.chicorylane.internal.command;

/** The exit codes of the program. */
public enum ExitCode {
  /** Done as asked. */
  OK(0),
  /** Done, and the answer is no: a promise was broken, a difference found, a wait ran out. */
  NEGATIVE(1),
  /** The command line or a document is wrong; nothing was done. */
  USAGE(2),
  /** An instance could not be reached or could not start. */
  UNAVAILABLE(3),
  /** Another operator changed the same resource first. */
  CONFLICT(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the number. */
  public int code() {
    return code;
  }
}

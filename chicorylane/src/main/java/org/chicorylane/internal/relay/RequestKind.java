package org.chicorylane.internal.relay;

/** What a request asks of a database group. */
public enum RequestKind {
  /** Reads in a read-only transaction, on any server that is fresh enough. */
  READ(false),
  /** Statements in one transaction on the primary. */
  WRITE(true),
  /** Opens an interactive transaction on the primary. */
  BEGIN(true),
  /** Runs statements within an interactive transaction. */
  CONTINUE(true),
  /** Commits an interactive transaction. */
  COMMIT(true),
  /** Rolls an interactive transaction back. */
  ROLLBACK(true);

  private final boolean needsPrimary;

  RequestKind(boolean needsPrimary) {
    this.needsPrimary = needsPrimary;
  }

  /** Returns whether only the primary can serve it. */
  public boolean needsPrimary() {
    return needsPrimary;
  }
}

package org.chicorylane.internal.relay;

/** The kind of a request to a database group. */
public enum RequestKind {
  /** Runs reads in a read-only transaction, on any server whose data is fresh enough. */
  READ(false),
  /** Runs statements in one transaction on the primary. */
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

  /** Returns whether only the primary can serve requests of this kind. */
  public boolean needsPrimary() {
    return needsPrimary;
  }
}

package org.chicorylane.internal.declaration;

/** Whether a backend server accepts work of its group. */
public enum ServerState {
  /** The server accepts new work. */
  JOINED(true),
  /** The server accepts no new work; transactions in flight finish. */
  LEAVING(false);

  private final boolean takesNewWork;

  ServerState(boolean takesNewWork) {
    this.takesNewWork = takesNewWork;
  }

  /** Returns whether new work may be sent to the server. */
  public boolean takesNewWork() {
    return takesNewWork;
  }
}

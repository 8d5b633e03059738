package org.chicorylane.internal.declaration;

/** Whether a backend server takes part in its group. */
public enum ServerState {
  /** It takes new work. */
  JOINED(true),
  /** It takes no new work; transactions in flight end. */
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

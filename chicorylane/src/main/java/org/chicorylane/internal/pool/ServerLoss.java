package org.chicorylane.internal.pool;

/** Reason why a server is considered lost. */
public enum ServerLoss {
  /** The server's entry is no longer in the list of servers: the server has left. */
  ENTRY_GONE("its entry is gone", true),
  /** The connection was refused: no process listens at the server's address. */
  REFUSED("connection refused", true),
  /** The server did not answer in time; the network to it may be interrupted. */
  SILENT("no answer in time", false),
  /** The server, or another server at its address, rejected the connection. */
  REJECTED("connection rejected", false);

  private final String description;
  private final boolean certain;

  ServerLoss(String description, boolean certain) {
    this.description = description;
    this.certain = certain;
  }

  /** Returns whether the server is certainly unreachable for all other instances too. */
  public boolean isCertain() {
    return certain;
  }

  @Override
  public String toString() {
    return description;
  }
}

package org.chicorylane.internal.pool;

/** Reason why a server is considered lost. */
public enum ServerLoss {
  /** The server's entry is no longer in the list of servers: the server has left. */
  ENTRY_GONE("its entry is gone") {
    @Override
    public boolean isCertain() {
      return true;
    }
  },
  /**
   * The connection was refused, by the server's host or by a partition that only some instances are
   * behind.
   */
  REFUSED("connection refused") {
    @Override
    public boolean needsWitness() {
      return false;
    }
  },
  /** The server did not answer in time; the network to it may be interrupted. */
  SILENT("no answer in time"),
  /** The server, or another server at its address, rejected the connection. */
  REJECTED("connection rejected");

  private final String description;

  ServerLoss(String description) {
    this.description = description;
  }

  /** Returns whether no other instance can reach the server either. */
  public boolean isCertain() {
    return false;
  }

  /**
   * Returns whether the server counts as lost only if another instance reports that it does not
   * reach it; otherwise it is enough that none reports that it does.
   */
  public boolean needsWitness() {
    return true;
  }

  @Override
  public String toString() {
    return description;
  }
}

package org.chicorylane.internal.pool;

/** Why a server is taken for lost. */
public enum ServerLoss {
  /** Its entry is gone: it left. */
  ENTRY_GONE("its entry is gone", true),
  /** Nobody listens at its address: its process is not running. */
  REFUSED("connection refused", true),
  /** It did not answer; the way to it may be cut. */
  SILENT("no answer in time", false),
  /** It, or another server at its address, turned the connection away. */
  REJECTED("connection rejected", false);

  private final String text;
  private final boolean certain;

  ServerLoss(String text, boolean certain) {
    this.text = text;
    this.certain = certain;
  }

  /** Returns whether no other instance can reach the server either. */
  public boolean isCertain() {
    return certain;
  }

  @Override
  public String toString() {
    return text;
  }
}

package org.chicorylane.internal.pool;

import org.chicorylane.internal.passthrough.ServerStatus;

/** Listener for what a pool detects about its servers. */
public interface PoolListener {

  /** Called when a server is considered lost; may be called again while it stays lost. */
  void onServerLost(String serverId, ServerLoss loss);

  /**
   * Called when a server with statements in flight has not answered for a while. It may be lost.
   */
  void onServerUnresponsive(String serverId);

  /**
   * Called when a server has reported its status.
   *
   * @param askedNanos time at which the status was requested; the server's state may have changed
   *     since
   */
  void onServerStatus(String serverId, ServerStatus status, long askedNanos);

  /**
   * Called when the server that the pool uses as the primary answers that it is not the primary.
   */
  void onPrimaryRoleRefused(String serverId);
}

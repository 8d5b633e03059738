package org.chicorylane.internal.pool;

import org.chicorylane.internal.passthrough.ServerStatus;

/** Follows what a pool learns about its servers. */
public interface PoolListener {

  /** A server does not answer, or its process is not running. */
  void onServerLost(String serverId, ServerLoss loss);

  /** A server that has work to answer says nothing; it may be lost. */
  void onServerUnresponsive(String serverId);

  /** A server told its state. */
  void onServerStatus(String serverId, ServerStatus status);

  /** The server that is taken for the primary refused to act as one. */
  void onPrimaryRoleRefused(String serverId);
}

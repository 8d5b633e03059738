package org.chicorylane.standin.wire;

/**
 * Receives what happens in a {@link ReplicatedGroup}. Each method is called while the lock of the
 * group is held, and must return at once.
 */
public interface ReplicatedGroupListener {

  /**
   * A call for a promotion.
   *
   * @param group the name of the database group
   * @param serverId the id of the server to promote
   * @param holder the name of the instance that called
   * @param token the fencing token of the call
   */
  record PromotionCall(String group, String serverId, String holder, long token) {}

  /**
   * A single statement, or the first one of a transaction, has reached a server.
   *
   * @param nanos time at which it arrived, by {@link System#nanoTime()}
   */
  default void onArrival(ReplicatedServer server, String requestId, long nanos) {}

  /**
   * A statement has reached a server.
   *
   * @param requestId the request id; empty if the message is none of the protocol
   * @param text the statement without the position that precedes it, or the whole message
   */
  default void onStatement(ReplicatedServer server, String requestId, String text) {}

  /** A server runs a read on its log as it is now. */
  void onRead(ReplicatedServer server, String requestId);

  /** A primary has appended a commit, which no replica has received yet. */
  void onCommit(ReplicatedServer server, LogEntry entry);

  /**
   * A promotion was called for.
   *
   * @param accepted whether the server runs, so that the promotion takes effect later
   */
  void onPromotionCalled(ReplicatedGroup group, PromotionCall call, boolean accepted);

  /** A promotion takes effect; the logs are still as they were before it. */
  void onPromotion(ReplicatedServer server, PromotionCall call);
}

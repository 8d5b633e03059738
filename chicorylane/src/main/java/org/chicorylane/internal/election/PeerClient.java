package org.chicorylane.internal.election;

import java.util.List;
import java.util.function.Consumer;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.PeerInstance;
import org.jspecify.annotations.Nullable;

/** Sends requests to other instances. Each callback is called once, at the latest on timeout. */
public interface PeerClient {

  /** Returns the known instances, including this one. */
  List<PeerInstance> instances();

  /** Asks an instance whether it reaches a server. */
  void probeServer(PeerInstance peer, ServerConnector.Target server, Consumer<PeerReply> onReply);

  /** Asks an instance whether the home of a group responds to it. */
  void probeHome(PeerInstance peer, String group, Consumer<PeerReply> onReply);

  /** Asks an instance to become the home of a group. */
  void requestTakeover(PeerInstance peer, String group, Consumer<PeerReply> onReply);

  /**
   * Asks an earlier home or a successor to stop its work on a group's primary. A connection that
   * fails, however it fails, is no confirmation: the instance may run behind a partition.
   *
   * @param revision the record's revision up to which it must not start again
   * @param immediately whether running statements and transactions are ended; otherwise the
   *     instance reports that it has not stopped while any are running
   */
  void requestStop(
      String group,
      HomeRecord.Holder earlier,
      long revision,
      boolean immediately,
      Consumer<StopReply> onReply);

  /** Reply to a yes-or-no question; unknown if none arrived in time. */
  enum PeerReply {
    YES,
    NO,
    UNKNOWN
  }

  /**
   * Reply to a request to stop.
   *
   * @param stopped whether the instance, or a later process in its place, confirmed that its work
   *     has ended
   * @param acknowledged the highest position that it has acknowledged, zero if none; null if this
   *     is not known, such as after a restart of its process
   */
  record StopReply(boolean stopped, @Nullable LogPosition acknowledged) {}
}

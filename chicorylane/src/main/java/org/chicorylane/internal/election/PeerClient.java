package org.chicorylane.internal.election;

import java.util.List;
import java.util.function.Consumer;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.PeerInstance;

/** Questions to other instances. Each is answered once, at the latest after its timeout. */
public interface PeerClient {

  /** Returns the known instances, this one included. */
  List<PeerInstance> instances();

  /** Asks an instance whether it reaches a server. */
  void probeServer(PeerInstance peer, ServerConnector.Target server, Consumer<PeerReply> verdict);

  /** Asks an instance whether it hears the home of a group. */
  void probeHome(PeerInstance peer, String group, Consumer<PeerReply> verdict);

  /** Asks an instance to become the home of a group. */
  void requestTakeover(PeerInstance peer, String group, Consumer<PeerReply> verdict);

  /**
   * Asks an earlier home, or a successor, to stop its work on a group's primary.
   *
   * @param revision the record's revision up to which it may not begin again
   * @param atOnce whether statements and transactions that still run there are ended; otherwise it
   *     has not stopped as long as there are any
   */
  void requestStop(
      String group,
      HomeRecord.Holder earlier,
      long revision,
      boolean atOnce,
      Consumer<StopReply> outcome);

  /** An answer to a question. */
  enum PeerReply {
    YES,
    NO,
    UNKNOWN
  }

  /**
   * Whether an earlier home has stopped.
   *
   * @param stopped whether it surely has
   * @param acknowledged the highest position that it acknowledged, as far as it told
   */
  record StopReply(boolean stopped, LogPosition acknowledged) {}
}

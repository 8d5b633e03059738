package org.chicorylane.internal.mesh;

import org.chicorylane.internal.mesh.generated.MeshFrame;

/** Opens connections to other instances. */
public interface MeshTransport {

  /**
   * Opens a connection and reports the result to {@code listener} after this method has returned.
   *
   * @param address host and port
   */
  void connect(String address, Listener listener);

  /** Receives the events of one connection. */
  interface Listener {
    /** Called when the connection is open. */
    void onOpen(MeshChannel channel);

    /**
     * Called when connecting failed.
     *
     * @param refused whether the connection was refused, by the host or by a partition on the way
     */
    void onFailure(boolean refused);

    /** Called when a frame was received. */
    void onFrame(MeshFrame frame);

    /** Called when the open connection was closed, by either side. */
    void onClosed();
  }
}

package org.chicorylane.internal.mesh;

import org.chicorylane.internal.mesh.generated.MeshFrame;

/** Opens connections to other instances. */
public interface MeshTransport {

  /** Opens a connection to {@code address}, host and port; the listener is called later. */
  void connect(String address, Listener listener);

  /** Follows one connection. */
  interface Listener {
    /** The connection is open. */
    void onOpen(MeshChannel channel);

    /** There is no connection; {@code refused} if nobody listens there. */
    void onFailure(boolean refused);

    /** A frame came. */
    void onFrame(MeshFrame frame);

    /** An open connection ended. */
    void onClosed();
  }
}

package org.chicorylane.internal.mesh;

import org.chicorylane.internal.mesh.generated.MeshFrame;

/** An open connection to another instance. Confined to the instance's thread. */
public interface MeshChannel {

  /** Sends a frame; does nothing if the connection is closed. */
  void send(MeshFrame frame);

  /** Closes the connection and notifies its listener. */
  void close();
}

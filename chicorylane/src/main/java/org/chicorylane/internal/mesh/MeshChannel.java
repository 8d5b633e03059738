package org.chicorylane.internal.mesh;

import org.chicorylane.internal.mesh.generated.MeshFrame;

/** A connection to another instance. Confined to the instance's thread. */
public interface MeshChannel {

  /** Sends a frame, if the connection is still open. */
  void send(MeshFrame frame);

  /** Closes the connection; its listener is told. */
  void close();
}

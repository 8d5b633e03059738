package org.chicorylane.internal.proxy;

import org.chicorylane.internal.mesh.MeshChannel;
import org.chicorylane.internal.mesh.MeshTransport;
import org.chicorylane.internal.mesh.NettyMeshTransport;
import org.chicorylane.internal.mesh.generated.MeshFrame;

/** A simulated connection between two instances. */
final class ModelConnection {
  private final ModelHost from;
  private final ModelHost to;
  private final MeshTransport.Listener listener;
  private final int toIncarnation;
  final MeshChannel near = new Endpoint(true);
  private final MeshChannel far = new Endpoint(false);
  private boolean closed;

  ModelConnection(ModelHost from, ModelHost to, MeshTransport.Listener listener) {
    this.from = from;
    this.to = to;
    this.listener = listener;
    this.toIncarnation = to.incarnation;
    from.connectionClosers.add(this::close);
    to.connectionClosers.add(this::close);
    from.peerConnections.add(this);
  }

  boolean isTo(ModelHost host) {
    return to == host;
  }

  void close() {
    if (closed) {
      return;
    }
    closed = true;
    from.peerConnections.remove(this);
    if (from.running) {
      from.runAfter(ModelHost.ONE_WAY, listener::onClosed);
    }
    if (to.running && to.incarnation == toIncarnation) {
      to.runAfter(ModelHost.ONE_WAY, () -> acceptor().onClosed(far));
    }
  }

  private NettyMeshTransport.MeshAcceptor acceptor() {
    ProxyInstance target = to.instance;
    if (target == null) {
      throw new AssertionError(to.name + " is not running");
    }
    return target.meshAcceptor();
  }

  /** One end of the connection. */
  private final class Endpoint implements MeshChannel {
    private final boolean isNear;

    Endpoint(boolean isNear) {
      this.isNear = isNear;
    }

    @Override
    public void send(MeshFrame frame) {
      if (closed || !from.canReach(to)) {
        return;
      }
      if (isNear) {
        to.runAfter(
            ModelHost.ONE_WAY,
            () -> {
              if (!closed && to.incarnation == toIncarnation) {
                acceptor().onFrame(far, frame);
              }
            });
      } else {
        from.runAfter(
            ModelHost.ONE_WAY,
            () -> {
              if (!closed) {
                listener.onFrame(frame);
              }
            });
      }
    }

    @Override
    public void close() {
      ModelConnection.this.close();
    }
  }
}

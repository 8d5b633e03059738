package org.chicorylane.standin.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Reserves loopback ports until it is closed: only listeners with {@code SO_REUSEADDR} that name
 * the port can bind it.
 */
public final class LoopbackPorts implements AutoCloseable {

  /** Sockets that are bound, but do not listen. */
  private final List<Socket> reservations = new ArrayList<>();

  /** Reserves a free port and returns it. */
  public int reserve() throws IOException {
    Socket socket = new Socket();
    reservations.add(socket);
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return socket.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    for (Socket reservation : reservations) {
      reservation.close();
    }
  }
}

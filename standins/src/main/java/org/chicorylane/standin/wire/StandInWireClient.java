package org.chicorylane.standin.wire;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A blocking client for the line protocol that sends one statement at a time. Connecting and each
 * read time out after 5 seconds.
 */
public final class StandInWireClient implements AutoCloseable {

  private static final int TIMEOUT_MILLIS = 5_000;

  private final Socket socket = new Socket();
  private final WireReader in;
  private final OutputStream out;

  /**
   * Connects to a server.
   *
   * @param address host and port, separated by a colon
   */
  public StandInWireClient(String address) throws IOException {
    int colon = address.lastIndexOf(':');
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        TIMEOUT_MILLIS);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    in = new WireReader(socket.getInputStream());
    out = socket.getOutputStream();
  }

  /** Sends {@code bytes} unchanged, one byte per character and without a line end. */
  public void send(String bytes) throws IOException {
    out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Reads one message without its end; returns an empty string if the connection has ended. */
  public String line() throws IOException {
    String line = in.read();
    return line == null ? "" : line;
  }

  /**
   * Sends a message and reads its answer.
   *
   * @param message the message without its line end
   * @return the messages up to and including READY, or up to an empty one or the end of the
   *     connection
   */
  public List<String> ask(String message) throws IOException {
    send(message + "\r\n");
    List<String> lines = new ArrayList<>();
    while (true) {
      String line = line();
      if (line.isEmpty()) {
        return lines;
      }
      lines.add(line);
      if (line.startsWith("READY")) {
        return lines;
      }
    }
  }

  /** Closes the connection with a reset instead of an orderly end. */
  public void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

package org.chicorylane.standin.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A client that speaks the line protocol, one statement at a time. */
public final class StandInWireClient implements AutoCloseable {

  private static final int TIMEOUT_MILLIS = 5_000;

  private final Socket socket = new Socket();
  private final BufferedReader in;
  private final OutputStream out;

  /** Connects to host and port. */
  public StandInWireClient(String address) throws IOException {
    int colon = address.lastIndexOf(':');
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        TIMEOUT_MILLIS);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    out = socket.getOutputStream();
  }

  /** Sends bytes as they are. */
  public void send(String bytes) throws IOException {
    out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Reads one line; empty at the end of the connection. */
  public String line() throws IOException {
    String line = in.readLine();
    return line == null ? "" : line;
  }

  /** Sends a message and reads lines up to READY, or to the end of the connection. */
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

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

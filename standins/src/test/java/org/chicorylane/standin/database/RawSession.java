package org.chicorylane.standin.database;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A client that sends the messages of PostgreSQL's protocol one by one, where a driver sends
 * several of them together.
 */
final class RawSession implements AutoCloseable {

  private static final int PROTOCOL_VERSION = 3 << 16;

  private final Socket socket;
  private final DataInputStream in;
  private final DataOutputStream out;

  RawSession(StandInServer server) throws IOException {
    socket = new Socket(server.host(), server.port());
    in = new DataInputStream(socket.getInputStream());
    out = new DataOutputStream(socket.getOutputStream());
    byte[] parameters = "user\0u\0database\0db\0\0".getBytes(StandardCharsets.UTF_8);
    out.writeInt(8 + parameters.length);
    out.writeInt(PROTOCOL_VERSION);
    out.write(parameters);
    out.flush();
    readUntil('Z');
  }

  /** Runs a statement with the simple protocol. */
  void query(String sql) throws IOException {
    send('Q', sql + '\0');
    readUntil('Z');
  }

  /** Runs a statement with the extended protocol up to its completion, and sends no Sync. */
  void executeWithoutSync(String sql) throws IOException {
    send('P', "\0" + sql + "\0\0\0");
    send('B', "\0\0\0\0\0\0\0\0");
    send('E', "\0\0\0\0\0");
    send('H', "");
    readUntil('C');
  }

  void sync() throws IOException {
    send('S', "");
  }

  /** Returns the types of the messages that the server sends before it closes the connection. */
  String readUntilEnd() throws IOException {
    StringBuilder types = new StringBuilder();
    for (int type = readMessage(); type >= 0; type = readMessage()) {
      types.append((char) type);
    }
    return types.toString();
  }

  private void readUntil(char type) throws IOException {
    int read = readMessage();
    while (read != type) {
      if (read < 0) {
        throw new IOException("the server closed the connection before a message " + type);
      }
      read = readMessage();
    }
  }

  /** Returns the type of the next message, -1 if the server has closed the connection. */
  private int readMessage() throws IOException {
    int type = in.read();
    if (type >= 0) {
      in.skipNBytes(in.readInt() - Integer.BYTES);
    }
    return type;
  }

  private void send(char type, String body) throws IOException {
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    DataOutputStream fields = new DataOutputStream(message);
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    fields.writeByte(type);
    fields.writeInt(Integer.BYTES + bytes.length);
    fields.write(bytes);
    out.write(message.toByteArray());
    out.flush();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

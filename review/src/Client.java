import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A client that sends one request at a time. */
final class Client implements AutoCloseable {

  private static final int TIMEOUT_MILLIS = 5_000;

  final Socket socket = new Socket();
  private final InputStream in;

  /** Connects and begins a session. */
  Client(int port, String database, String who) throws IOException {
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    in = new BufferedInputStream(socket.getInputStream());
    List<String> answer = ask("STARTUP " + database + " " + who);
    if (answer.isEmpty() || !answer.get(answer.size() - 1).startsWith("READY")) {
      throw new IOException("no session: " + answer);
    }
  }

  void send(String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Reads one message; null at the end of the connection. */
  String read() throws IOException {
    return Wire.read(in, 1 << 21);
  }

  /** Sends a message and returns its answer, up to READY or the end of the connection. */
  List<String> ask(String message) throws IOException {
    send(message + Wire.END);
    List<String> lines = new ArrayList<>();
    for (String line = read(); line != null; line = read()) {
      lines.add(line);
      if (line.startsWith("READY")) {
        return lines;
      }
    }
    return lines;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A client session of the wire protocol that sends one statement at a time. */
final class WireClient implements AutoCloseable {

  private static final AtomicLong IDS = new AtomicLong(0x5c0e7a21d94b0000L);

  /** The answer to a statement. */
  record Answer(String outcome, String ready) {
    boolean succeeded() {
      return outcome.startsWith("COMPLETE");
    }

    boolean isIdle() {
      return ready.startsWith("READY I");
    }
  }

  private final Socket socket = new Socket();
  private final InputStream in;
  private final OutputStream out;
  private final String name;
  private final CaseRecord record;

  WireClient(int port, String database, String name, CaseRecord record, int timeoutMillis)
      throws IOException {
    this.name = name;
    this.record = record;
    socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMillis);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
    write("STARTUP " + database + " u3f1");
    String greeting = Backend.read(in);
    if (greeting == null || !greeting.startsWith("READY")) {
      socket.close();
      throw new IOException("greeting " + greeting);
    }
  }

  static String newId() {
    return Long.toHexString(IDS.incrementAndGet());
  }

  private void write(String message) throws IOException {
    out.write((message + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Sends a statement under a new id and reads its answer. */
  Answer ask(String text) throws IOException {
    return ask(newId(), text);
  }

  Answer ask(String id, String text) throws IOException {
    record.line("client " + name + " > " + id + " " + (text.length() > 80 ? "..." : text));
    write("QUERY " + id + " " + text);
    String outcome = "";
    while (true) {
      String line = Backend.read(in);
      if (line == null) {
        record.line("client " + name + " < (connection ended)");
        throw new IOException("the connection ended");
      }
      if (line.startsWith("READY")) {
        record.line("client " + name + " < " + id + " " + outcome + " / " + line);
        return new Answer(outcome, line);
      }
      if (!line.startsWith("DATAROW")) {
        outcome = line;
      }
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

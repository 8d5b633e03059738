import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** The framing of the wire protocol: a message ends with CR LF. */
final class Wire {

  static final String END = "\r\n";

  private Wire() {}

  /** Reads one message without its end; returns null at the end of the connection. */
  static String read(InputStream in, int limit) throws IOException {
    ByteArrayOutputStream message = new ByteArrayOutputStream(128);
    int before = -1;
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (before == '\r' && b == '\n') {
        byte[] bytes = message.toByteArray();
        return new String(bytes, 0, bytes.length - 1, StandardCharsets.ISO_8859_1);
      }
      message.write(b);
      if (message.size() > limit + 2) {
        return null;
      }
      before = b;
    }
    return null;
  }
}

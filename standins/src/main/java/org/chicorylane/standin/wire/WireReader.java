package org.chicorylane.standin.wire;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Reads messages of the line protocol. A message ends at CR LF; a CR or LF alone belongs to it.
 * Each character of a message holds one byte (ISO 8859-1).
 */
public final class WireReader {

  private final InputStream in;

  /** Creates a reader of {@code source}, which it buffers. */
  public WireReader(InputStream source) {
    in = new BufferedInputStream(source);
  }

  /**
   * Reads a message.
   *
   * @return the message without its end; null if the stream ends before a message does
   */
  public @Nullable String read() throws IOException {
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    boolean afterReturn = false;
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n' && afterReturn) {
        return message.toString(StandardCharsets.ISO_8859_1);
      }
      if (afterReturn) {
        message.write('\r');
      }
      afterReturn = b == '\r';
      if (!afterReturn) {
        message.write(b);
      }
    }
    return null;
  }
}

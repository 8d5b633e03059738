package org.chicorylane.standin.wire;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class WireReaderTest {

  private static List<String> readAll(String bytes) throws IOException {
    WireReader reader =
        new WireReader(new ByteArrayInputStream(bytes.getBytes(StandardCharsets.ISO_8859_1)));
    List<String> messages = new ArrayList<>();
    for (String message = reader.read(); message != null; message = reader.read()) {
      messages.add(message);
    }
    return messages;
  }

  /** The stand-ins once ended messages at a lone LF or CR, as the proxy did. */
  @Test
  void testMessageEndsAtCrLfOnly() throws IOException {
    assertThat(readAll("a\nb\r\n\n\r\nc\rd\r\r\n\r\n\r\r\n"))
        .containsExactly("a\nb", "\n", "c\rd\r", "", "\r")
        .inOrder();
  }

  @Test
  void testMessageWithoutEndIsDropped() throws IOException {
    assertThat(readAll("a\r\nb")).containsExactly("a");
    assertThat(readAll("a\r\nb\r")).containsExactly("a");
  }

  @Test
  void testRowsOfAnyBytesEndNoMessage() throws IOException {
    for (int i = 0; i < 300; i++) {
      List<String> rows = WireRows.EVERY_BYTE.of("request-" + i);
      assertThat(rows).isNotEmpty();
      assertThat(readAll("DATAROW " + String.join("\r\nDATAROW ", rows) + "\r\n"))
          .containsExactlyElementsIn(rows.stream().map(r -> "DATAROW " + r).toList())
          .inOrder();
    }
  }
}

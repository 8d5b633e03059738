package org.chicorylane.standin.metadata;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The store behind the relay sends whole responses twice. */
final class ResponseRelayTest {

  private static final int TIMEOUT_MILLIS = 10_000;

  private StandInMetadataStore store;

  @BeforeEach
  void start() throws IOException {
    store = new StandInMetadataStore();
    store.engine().transact(Map.of(), Map.of("a", "MQ=="), List.of());
  }

  @AfterEach
  void stop() throws IOException {
    store.close();
  }

  private Socket connect(String address) throws IOException {
    URI uri = URI.create("http://" + address);
    Socket socket = new Socket(uri.getHost(), uri.getPort());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  private static void send(Socket socket, String path) throws IOException {
    String call = "GET " + path + " HTTP/1.1\r\nHost: store\r\n\r\n";
    socket.getOutputStream().write(call.getBytes(US_ASCII));
  }

  private static String read(Socket socket, int length) throws IOException {
    return new String(socket.getInputStream().readNBytes(length), ISO_8859_1);
  }

  /** Returns the length of the store's own response. */
  private int length(String path) throws IOException {
    try (Socket socket = connect(store.address())) {
      String call = "GET " + path + " HTTP/1.1\r\nHost: store\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(call.getBytes(US_ASCII));
      String response = new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
      return response.replace("Connection: close\r\n", "").length();
    }
  }

  @Test
  void testCopiesAreWholeAndEqual() throws IOException {
    int length = length("/-/kv-key?key=a");
    store.copyResponses(1, 50);
    try (Socket socket = connect(store.relayedAddress())) {
      for (int i = 0; i < 10; i++) {
        send(socket, "/-/kv-key?key=a");
        String response = read(socket, length);
        assertThat(response).startsWith("HTTP/1.1 200 ");
        assertThat(response).contains("\"MQ==\"");
        assertThat(read(socket, length)).isEqualTo(response);
      }
    }
    assertThat(store.copiedResponses()).isEqualTo(10);
  }

  @Test
  void testResponsesComeOnceByDefault() throws IOException {
    int length = length("/-/kv-key?key=none");
    try (Socket socket = connect(store.relayedAddress())) {
      for (int i = 0; i < 10; i++) {
        send(socket, "/-/kv-key?key=none");
        assertThat(read(socket, length)).startsWith("HTTP/1.1 404 ");
      }
    }
    assertThat(store.copiedResponses()).isEqualTo(0);
  }

  @Test
  void testLostAnswerEndsConnection() throws IOException {
    store.loseAnswers(1);
    try (Socket socket = connect(store.relayedAddress())) {
      String body = "{\"expected\":[],\"writes\":[],\"remove\":[]}";
      String call = "POST /-/kv-txn HTTP/1.1\r\nHost: store\r\nContent-Length: " + body.length();
      socket.getOutputStream().write((call + "\r\n\r\n" + body).getBytes(US_ASCII));
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
  }
}

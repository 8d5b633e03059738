package org.chicorylane.standin.metadata;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The stand-in returns from a copy as the users' store does, so that instances are tested on it.
 */
final class StandInMetadataStoreTest {

  private static final int TIMEOUT_MILLIS = 10_000;

  private final HttpClient client = HttpClient.newHttpClient();
  private StandInMetadataStore store;

  @BeforeEach
  void start() throws IOException {
    store = new StandInMetadataStore();
  }

  @AfterEach
  void stop() throws IOException {
    store.close();
  }

  private HttpRequest request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + store.address() + path)).build();
  }

  private HttpResponse<String> get(String path) throws Exception {
    return client.send(request(path), HttpResponse.BodyHandlers.ofString());
  }

  private static String era(HttpResponse<String> answer) {
    return answer.headers().firstValue("Store-Era").orElseThrow();
  }

  private long put(String key, String value) {
    return store.engine().transact(Map.of(), Map.of(key, value), List.of());
  }

  @Test
  void testAllAnswersTellTheEraWhichRisesWithEachRestore() throws Exception {
    put("a", "MQ==");
    assertThat(era(get("/-/kv-key?key=a"))).isEqualTo("1");
    assertThat(era(get("/-/kv-key?key=none"))).isEqualTo("1");
    store.restore(store.engine().copy());
    assertThat(era(get("/-/kv-range?prefix=a"))).isEqualTo("2");
    store.setDown(true);
    assertThat(era(get("/-/kv-range?prefix=a"))).isEqualTo("2");
  }

  @Test
  void testRevisionsAreAssignedAgain() {
    put("a", "MQ==");
    MetadataEngine.Copy copy = store.engine().copy();
    long lost = put("a", "Mg==");
    store.restore(copy);
    assertThat(put("b", "Mw==")).isEqualTo(lost);
    assertThat(store.engine().get("a").value()).isEqualTo("MQ==");
  }

  @Test
  void testOperatorAndServersWriteTheirEntriesAgain() {
    put("servers/s1", "MQ==");
    final MetadataEngine.Copy copy = store.engine().copy();
    put("op/config", "Mg==");
    put("lane/x", "Mg==");
    store.engine().transact(Map.of(), Map.of(), List.of("servers/s1"));
    store.restore(copy);
    assertThat(store.engine().get("op/config").value()).isEqualTo("Mg==");
    assertThat(store.engine().get("servers/s1")).isNull();
    assertThat(store.engine().get("lane/x")).isNull();
  }

  @Test
  void testWatchFromRevisionThatTheStoreLacksIsGone() throws Exception {
    MetadataEngine.Copy copy = store.engine().copy();
    long after = put("a", "MQ==");
    store.restore(copy);
    assertThat(get("/-/kv-watch?prefix=a&wait_ms=1000&after=" + after).statusCode()).isEqualTo(410);
  }

  @Test
  void testWatchFromRevisionThatWasAssignedAgainContinues() throws Exception {
    MetadataEngine.Copy copy = store.engine().copy();
    final long after = put("a", "MQ==");
    store.restore(copy);
    put("a", "Mg==");
    put("a", "Mw==");
    HttpResponse<String> answer = get("/-/kv-watch?prefix=a&wait_ms=1000&after=" + after);
    assertThat(
            JsonParser.parseString(answer.body()).getAsJsonObject().getAsJsonArray("events").size())
        .isEqualTo(1);
  }

  @Test
  void testWaitingWatchIsCut() throws Exception {
    MetadataEngine.Copy copy = store.engine().copy();
    long after = store.engine().revision();
    // The HTTP client would send a call whose connection is closed again.
    try (Socket socket = connect()) {
      String call = "GET /-/kv-watch?prefix=a&wait_ms=20000&after=" + after + " HTTP/1.1\r\n";
      socket.getOutputStream().write((call + "Host: store\r\n\r\n").getBytes(US_ASCII));
      assertThat(store.awaitWatch(TIMEOUT_MILLIS)).isTrue();
      store.restore(copy);
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
  }

  private Socket connect() throws IOException {
    URI uri = URI.create("http://" + store.address());
    Socket socket = new Socket(uri.getHost(), uri.getPort());
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }
}

package org.chicorylane.internal.caller;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.ssl.SslContext;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.junit.jupiter.api.Test;

/** Tests HTTP/2 with prior knowledge and over TLS. The other tests use HTTP/2 by upgrade. */
final class CallerProtocolsFunctionalTest {
  private static final long TIMEOUT_SECONDS = 10;

  @Test
  void testServesHttp2WithPriorKnowledge() throws Exception {
    try (CallerFixture fixture = new CallerFixture(CallerFixture.limits());
        Http2TestClient client = new Http2TestClient(fixture.server.address())) {
      CompletableFuture<Integer> status = client.post("/v1/sessions", "");

      assertThat(status.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(201);
    }
  }

  @Test
  void testTlsNegotiatesHttp1AndHttp2() throws Exception {
    SslContext tls =
        CallerTls.fromFiles(tlsFile("test-only-certificate.pem"), tlsFile("test-only-key.pem"));
    assertThat(tls.applicationProtocolNegotiator().protocols())
        .containsExactly("h2", "http/1.1")
        .inOrder();
    try (CallerFixture fixture =
        new CallerFixture(CallerFixture.limits(), builder -> builder.tls(tls))) {
      for (HttpClient.Version version : HttpClient.Version.values()) {
        HttpClient client =
            HttpClient.newBuilder().version(version).sslContext(trustingSslContext()).build();
        URI uri =
            URI.create(
                "https://127.0.0.1:" + fixture.server.address().getPort() + "/v1/health/live");
        var response = client.send(HttpRequest.newBuilder(uri).build(), BodyHandlers.ofString());
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.version()).isEqualTo(version);
      }
    }
  }

  private static Path tlsFile(String name) {
    return Path.of("src/test/resources/tls", name);
  }

  private static SSLContext trustingSslContext() throws Exception {
    KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
    store.load(null, null);
    try (InputStream certificate = Files.newInputStream(tlsFile("test-only-certificate.pem"))) {
      store.setCertificateEntry(
          "server", CertificateFactory.getInstance("X.509").generateCertificate(certificate));
    }
    TrustManagerFactory trust =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    trust.init(store);
    SSLContext context = SSLContext.getInstance("TLS");
    context.init(null, trust.getTrustManagers(), null);
    return context;
  }
}

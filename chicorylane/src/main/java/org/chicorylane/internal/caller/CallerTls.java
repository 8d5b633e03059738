package org.chicorylane.internal.caller;

import io.netty.handler.codec.http2.Http2SecurityUtil;
import io.netty.handler.ssl.ApplicationProtocolConfig;
import io.netty.handler.ssl.ApplicationProtocolConfig.Protocol;
import io.netty.handler.ssl.ApplicationProtocolConfig.SelectedListenerFailureBehavior;
import io.netty.handler.ssl.ApplicationProtocolConfig.SelectorFailureBehavior;
import io.netty.handler.ssl.ApplicationProtocolNames;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SupportedCipherSuiteFilter;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import javax.net.ssl.SSLException;

/**
 * Creates the TLS context of a {@link CallerServer}.
 *
 * <pre>{@code
 * CallerServer.builder().tls(CallerTls.fromFiles(certificateChain, key));
 * }</pre>
 */
public final class CallerTls {
  private static final String TLS_1_3 = "TLSv1.3";
  private static final String TLS_1_2 = "TLSv1.2";

  private CallerTls() {}

  /**
   * Returns a context that offers HTTP/2 and HTTP/1.1 by ALPN, over TLS 1.3 and 1.2.
   *
   * @param certificateChain a file with X.509 certificates in PEM format, starting with that of the
   *     server
   * @param key a file with the private key in PEM format (PKCS #8) without a password
   * @throws IOException if a file cannot be read, or no context can be created from the files
   * @throws IllegalArgumentException if the content of a file is invalid
   */
  public static SslContext fromFiles(Path certificateChain, Path key) throws IOException {
    try (InputStream certificates = Files.newInputStream(certificateChain);
        InputStream privateKey = Files.newInputStream(key)) {
      return context(certificates, privateKey);
    }
  }

  /**
   * Returns a context that offers HTTP/2 and HTTP/1.1 by ALPN, over TLS 1.3 and 1.2.
   *
   * @param certificateChain X.509 certificates in PEM format, starting with that of the server
   * @param key the private key in PEM format (PKCS #8) without a password
   * @throws SSLException if no context can be created from the certificate and the key
   * @throws IllegalArgumentException if the certificate or the key is invalid
   */
  public static SslContext context(InputStream certificateChain, InputStream key)
      throws SSLException {
    return SslContextBuilder.forServer(certificateChain, key)
        .protocols(TLS_1_3, TLS_1_2)
        .ciphers(Http2SecurityUtil.CIPHERS, SupportedCipherSuiteFilter.INSTANCE)
        .applicationProtocolConfig(
            new ApplicationProtocolConfig(
                Protocol.ALPN,
                SelectorFailureBehavior.NO_ADVERTISE,
                SelectedListenerFailureBehavior.ACCEPT,
                ApplicationProtocolNames.HTTP_2,
                ApplicationProtocolNames.HTTP_1_1))
        .build();
  }
}

package org.chicorylane.internal.account;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A short digest of a key, which identifies the key between instances and in logs without revealing
 * it.
 *
 * <pre>{@code
 * KeyFingerprint fingerprint = KeyFingerprint.of("jqnirth5mgjy5rcpihha");
 * }</pre>
 *
 * <p>Immutable.
 *
 * @param hex the first 8 bytes of the key's SHA-256 digest, as 16 hexadecimal digits
 */
public record KeyFingerprint(String hex) {

  private static final int DIGEST_BYTES = 8;

  /**
   * Returns the fingerprint of a key.
   *
   * <p>Lookups compare fingerprints, not keys, so their duration reveals nothing about a key.
   */
  public static KeyFingerprint of(String key) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      return new KeyFingerprint(HexFormat.of().formatHex(digest, 0, DIGEST_BYTES));
    } catch (NoSuchAlgorithmException e) {
      throw new AssertionError("every Java platform has SHA-256", e);
    }
  }
}

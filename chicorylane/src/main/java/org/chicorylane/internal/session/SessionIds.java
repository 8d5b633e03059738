package org.chicorylane.internal.session;

import java.util.Base64;
import java.util.random.RandomGenerator;

/**
 * Makes session ids and other identifiers that must not repeat anywhere.
 *
 * <pre>{@code
 * SessionIds ids = new SessionIds(new SecureRandom());
 * String id = ids.next(); // 22 characters of base64url
 * }</pre>
 *
 * <p>As thread-safe as its generator; {@link java.security.SecureRandom} is.
 */
public final class SessionIds {
  private static final int ID_BYTES = 16;

  private final RandomGenerator random;

  /** Makes ids from the given generator. */
  public SessionIds(RandomGenerator random) {
    this.random = random;
  }

  /** Returns 128 random bits as base64url without padding. */
  public String next() {
    byte[] bits = new byte[ID_BYTES];
    random.nextBytes(bits);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bits);
  }
}

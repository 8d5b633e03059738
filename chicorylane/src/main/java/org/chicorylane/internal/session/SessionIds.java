package org.chicorylane.internal.session;

import java.util.Base64;
import java.util.random.RandomGenerator;

/**
 * A generator of random 128-bit ids for sessions and other things that need globally unique ids.
 *
 * <pre>{@code
 * SessionIds ids = new SessionIds(new SecureRandom());
 * String id = ids.next(); // 22 characters of base64url
 * }</pre>
 *
 * <p>Thread-safe if the random generator is, as {@link java.security.SecureRandom} is.
 */
public final class SessionIds {
  private static final int ID_BYTES = 16;

  private final RandomGenerator random;

  /** Creates a generator that draws its bits from {@code random}. */
  public SessionIds(RandomGenerator random) {
    this.random = random;
  }

  /** Returns a new id: 128 random bits in base64url without padding, 22 characters long. */
  public String next() {
    byte[] bits = new byte[ID_BYTES];
    random.nextBytes(bits);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bits);
  }
}

package org.chicorylane.internal.session;

import java.util.Arrays;

/**
 * A secret that signs session tokens, with the id by which tokens name it.
 *
 * <p>Immutable and thread-safe; copies the secret on the way in and out, and never prints it.
 */
public final class SessionKey {
  /** The shortest secret that is accepted, in bytes: the output size of SHA-256. */
  public static final int MINIMUM_SECRET_BYTES = 32;

  private final String id;
  private final byte[] secret;

  /**
   * Makes a key.
   *
   * @param id names the key in tokens; not empty
   * @param secret at least {@link #MINIMUM_SECRET_BYTES} bytes
   * @throws IllegalArgumentException if the id is empty or the secret too short
   */
  public SessionKey(String id, byte[] secret) {
    if (id.isEmpty()) {
      throw new IllegalArgumentException("a session key without an id");
    }
    if (secret.length < MINIMUM_SECRET_BYTES) {
      throw new IllegalArgumentException(
          "the secret of session key \""
              + id
              + "\" has "
              + secret.length
              + " bytes, not "
              + MINIMUM_SECRET_BYTES
              + " or more");
    }
    this.id = id;
    this.secret = secret.clone();
  }

  /** Returns the id that tokens carry. */
  public String id() {
    return id;
  }

  /** Returns a copy of the secret. */
  public byte[] secret() {
    return secret.clone();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof SessionKey key
        && id.equals(key.id)
        && Arrays.equals(secret, key.secret);
  }

  @Override
  public int hashCode() {
    return id.hashCode();
  }

  @Override
  public String toString() {
    return "SessionKey[" + id + "]";
  }
}

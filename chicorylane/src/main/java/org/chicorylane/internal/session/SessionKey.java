package org.chicorylane.internal.session;

import java.util.Arrays;

/**
 * A secret key that signs session tokens, and the id by which tokens refer to it.
 *
 * <p>Immutable and thread-safe. The secret is copied on input and output and never appears in
 * {@link #toString}.
 */
public final class SessionKey {
  /** The minimum length of a secret in bytes, which is the output size of SHA-256. */
  public static final int MINIMUM_SECRET_BYTES = 32;

  private final String id;
  private final byte[] secret;

  /**
   * Creates a key.
   *
   * @param id the id by which tokens refer to the key; not empty
   * @param secret the secret, at least {@link #MINIMUM_SECRET_BYTES} bytes long
   * @throws IllegalArgumentException if the id is empty or the secret is too short
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

  /** Returns the id by which tokens refer to this key. */
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

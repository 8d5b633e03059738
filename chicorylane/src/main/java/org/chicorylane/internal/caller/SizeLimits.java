package org.chicorylane.internal.caller;

/**
 * Maximum sizes of the parts of a request.
 *
 * @param headerBytes size of the request line, and of all header fields together, in bytes; both
 *     have this limit
 * @param bodyBytes size of the body, in bytes
 * @param statements number of statements in a request
 * @param parameters number of bound parameters of a statement
 * @param idempotencyKeyLength length of an idempotency key, in characters
 */
public record SizeLimits(
    int headerBytes, int bodyBytes, int statements, int parameters, int idempotencyKeyLength) {

  /** Returns the limits that apply if the settings contain none. */
  public static SizeLimits defaults() {
    return new SizeLimits(16 * 1024, 1024 * 1024, 100, 1_000, 200);
  }
}

package org.chicorylane.internal.caller;

/**
 * How large the parts of a caller's request may be.
 *
 * @param headerBytes the request line, and all header fields together, in bytes
 * @param bodyBytes the body, in bytes
 * @param statements statements in one request
 * @param parameters bound parameters of one statement
 * @param idempotencyKeyLength an idempotency key, in characters
 */
public record SizeLimits(
    int headerBytes, int bodyBytes, int statements, int parameters, int idempotencyKeyLength) {

  /** Returns the limits of an instance whose settings say nothing of them. */
  public static SizeLimits defaults() {
    return new SizeLimits(16 * 1024, 1024 * 1024, 100, 1_000, 200);
  }
}

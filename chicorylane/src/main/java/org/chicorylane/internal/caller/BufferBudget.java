package org.chicorylane.internal.caller;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the total size of the request bodies that a server buffers before it serves them, over all
 * connections.
 *
 * <pre>{@code
 * if (budget.tryAcquire(length)) {
 *   buffer(bytes); // later: budget.release(length)
 * }
 * }</pre>
 *
 * <p>Thread-safe.
 */
final class BufferBudget {
  private final long limit;
  private final AtomicLong acquired = new AtomicLong();

  /** Creates a budget of {@code limit} bytes. */
  BufferBudget(long limit) {
    this.limit = limit;
  }

  /** Acquires bytes and returns true, or returns false if they would exceed the limit. */
  boolean tryAcquire(int bytes) {
    // Adding the bytes first and subtracting them on excess could make concurrent calls fail
    // although their bytes fit.
    while (true) {
      long current = acquired.get();
      if (current + bytes > limit) {
        return false;
      }
      if (acquired.compareAndSet(current, current + bytes)) {
        return true;
      }
    }
  }

  /** Releases bytes that were acquired. */
  void release(int bytes) {
    acquired.addAndGet(-bytes);
  }

  /** Returns the number of bytes that are currently acquired. */
  long acquired() {
    return acquired.get();
  }
}

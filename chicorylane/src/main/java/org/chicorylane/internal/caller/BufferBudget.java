package org.chicorylane.internal.caller;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes of request bodies that a server holds before it serves them, over all
 * connections.
 *
 * <pre>{@code
 * if (budget.tryTake(length)) {
 *   buffer(bytes); // and later budget.giveBack(length)
 * }
 * }</pre>
 *
 * <p>Thread-safe.
 */
final class BufferBudget {
  private final long limit;
  private final AtomicLong acquired = new AtomicLong();

  /** Makes a budget of {@code limit} bytes. */
  BufferBudget(long limit) {
    this.limit = limit;
  }

  /** Takes the bytes, unless they would exceed the limit. */
  boolean tryAcquire(int bytes) {
    // Adding first and taking back would refuse others, for a moment, what would have fitted.
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

  /** Gives bytes back that were taken. */
  void release(int bytes) {
    acquired.addAndGet(-bytes);
  }

  /** Returns the bytes that are taken now. */
  long acquired() {
    return acquired.get();
  }
}

package org.chicorylane.internal.runtime;

import java.util.SplittableRandom;

/**
 * Generates ids that are unique across processes and calls. They are not secrets and can be
 * guessed: initializing a secure random generator would take longer than everything else that a
 * restarted process does before it serves.
 *
 * <p>Not thread-safe.
 */
public final class UniqueIds {

  private static final int RADIX = 36;

  private final String prefix;
  private long next;

  /** Creates a generator whose ids begin with {@code owner}. */
  public UniqueIds(String owner) {
    SplittableRandom random = new SplittableRandom(System.nanoTime() ^ System.currentTimeMillis());
    this.prefix =
        owner
            + '-'
            + Long.toString(System.currentTimeMillis(), RADIX)
            + Long.toString(random.nextLong() >>> 1, RADIX);
  }

  /** Returns a new id. */
  public String next() {
    return prefix + '-' + ++next;
  }
}

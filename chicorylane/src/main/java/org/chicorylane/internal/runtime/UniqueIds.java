package org.chicorylane.internal.runtime;

import java.util.SplittableRandom;

/**
 * Ids that no other process and no other call makes. They identify, they do not protect: a secure
 * generator costs a restarted process more time than all else that it does before it serves.
 *
 * <p>Not thread-safe.
 */
public final class UniqueIds {

  private static final int RADIX = 36;

  private final String prefix;
  private long next;

  /** Creates a source whose ids begin with {@code owner}. */
  public UniqueIds(String owner) {
    SplittableRandom random = new SplittableRandom(System.nanoTime() ^ System.currentTimeMillis());
    this.prefix =
        owner
            + '-'
            + Long.toString(System.currentTimeMillis(), RADIX)
            + Long.toString(random.nextLong() >>> 1, RADIX);
  }

  /** Returns an id. */
  public String next() {
    return prefix + '-' + ++next;
  }
}

package org.chicorylane.internal.platform;

/**
 * Revisions of a key-value store that may be restored from an older copy. Such a store raises its
 * era with each restore and assigns the revisions after the copy again. A <em>qualified</em>
 * revision combines the era with the store's own revision, so that it is unique and never falls.
 *
 * <p>All revisions in this package are qualified. Those of a store without eras belong to era 0, in
 * which both forms are equal. Revision 0 of any era stands for an absent key.
 *
 * <p>Stateless.
 */
public final class StoreEra {

  /** Number of low bits of a qualified revision that hold the store's own revision. */
  private static final int REVISION_BITS = 40;

  private static final long MAXIMUM_REVISION = (1L << REVISION_BITS) - 1;

  /** The highest era whose qualified revisions a double represents exactly, as JSON readers do. */
  public static final long MAXIMUM_ERA = (1L << 13) - 1;

  private StoreEra() {}

  /**
   * Returns the qualified form of a revision.
   *
   * @param era the store's era, 0 for a store without eras
   * @param revision the revision as the store assigned it
   * @throws IllegalArgumentException if one of them is negative or too large
   */
  public static long qualify(long era, long revision) {
    if (era < 0 || era > MAXIMUM_ERA || revision < 0 || revision > MAXIMUM_REVISION) {
      throw new IllegalArgumentException(
          "era " + era + " with revision " + revision + " cannot be qualified");
    }
    return (era << REVISION_BITS) | revision;
  }

  /** Returns the era of a qualified revision. */
  public static long of(long qualifiedRevision) {
    return qualifiedRevision >> REVISION_BITS;
  }

  /** Returns the store's own revision in a qualified revision. */
  public static long revisionOf(long qualifiedRevision) {
    return qualifiedRevision & MAXIMUM_REVISION;
  }
}

package org.chicorylane.internal.topology;

import org.jspecify.annotations.Nullable;

/**
 * A backend server's description of itself in the platform's store.
 *
 * @param id its id, which can stay the same across a restart
 * @param group its database group
 * @param address host and port
 * @param zone its availability zone
 * @param slots the number of statements that it runs concurrently
 * @param draining whether it is about to shut down
 * @param claimsPrimary whether it considers itself the primary
 * @param startedMillis its start time in Unix milliseconds, 0 if unknown
 */
public record BackendServer(
    String id,
    String group,
    String address,
    String zone,
    int slots,
    boolean draining,
    boolean claimsPrimary,
    long startedMillis) {

  /** Returns this description with another value of {@code draining}. */
  public BackendServer withDraining(boolean isDraining) {
    return new BackendServer(
        id, group, address, zone, slots, isDraining, claimsPrimary, startedMillis);
  }

  // Written out, as in all records that a starting process compares: the generated method links
  // method handles on first use, which takes about 10 ms in a cold process.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof BackendServer b
        && id.equals(b.id)
        && group.equals(b.group)
        && address.equals(b.address)
        && zone.equals(b.zone)
        && slots == b.slots
        && draining == b.draining
        && claimsPrimary == b.claimsPrimary
        && startedMillis == b.startedMillis;
  }

  @Override
  public int hashCode() {
    return id.hashCode();
  }
}

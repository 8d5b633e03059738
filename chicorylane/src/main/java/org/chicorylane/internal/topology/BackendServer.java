package org.chicorylane.internal.topology;

import org.jspecify.annotations.Nullable;

/**
 * A backend server as it describes itself.
 *
 * @param id its id, which may outlive a restart
 * @param group its database group
 * @param address host and port
 * @param zone its availability zone
 * @param slots statements that it runs at a time
 * @param draining whether it is about to leave
 * @param claimsPrimary whether it sees itself as the primary
 * @param startedMillis the time of its start, Unix milliseconds; 0 if it does not say
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

  // Written out, as in all records that a starting process compares: what the compiler adds links
  // method handles at its first use, which takes a cold process some 10 ms.
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

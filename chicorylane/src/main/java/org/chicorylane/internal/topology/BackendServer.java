package org.chicorylane.internal.topology;

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
    long startedMillis) {}

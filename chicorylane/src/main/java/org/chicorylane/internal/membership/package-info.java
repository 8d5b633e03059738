/**
 * Failure detection and group membership by the gossip protocol SWIM over UDP, and the choice of
 * the instances that may be the home of a group, by rendezvous hashing.
 *
 * <p>Start with {@link org.chicorylane.internal.membership.MembershipAgent}, which runs {@link
 * org.chicorylane.internal.membership.MembershipProtocol}.
 */
@NullMarked
package org.chicorylane.internal.membership;

import org.jspecify.annotations.NullMarked;

package org.chicorylane.internal.operator;

import java.util.OptionalLong;
import org.chicorylane.internal.membership.MemberStatus;

/**
 * The status of one live instance as observed by this instance. Immutable.
 *
 * @param instance the id of the instance
 * @param availabilityZone the availability zone that it runs in
 * @param member its status in the membership protocol
 * @param revision the revision that it last reported as in force; empty if it has reported none
 */
public record InstanceStatus(
    String instance, String availabilityZone, MemberStatus member, OptionalLong revision) {

  /** Returns why the instance is not known to run {@code expectedRevision}; empty if it is. */
  String behindReason(long expectedRevision) {
    if (revision.isPresent() && revision.getAsLong() >= expectedRevision) {
      return "";
    }
    String reason =
        revision.isEmpty()
            ? "no word of its revision yet"
            : "it runs revision " + revision.getAsLong() + ", older than " + expectedRevision;
    return member == MemberStatus.SUSPECT ? reason + "; it is suspected to be down" : reason;
  }
}

package org.chicorylane.internal.operator;

import java.util.OptionalLong;
import org.chicorylane.internal.membership.MemberStatus;

/**
 * What is known here of one live instance. Immutable.
 *
 * @param instance its id
 * @param availabilityZone the zone that it runs in
 * @param member what membership believes of it
 * @param revision the revision it was last heard to have in force; empty if it was not heard
 */
public record InstanceStatus(
    String instance, String availabilityZone, MemberStatus member, OptionalLong revision) {

  /** Returns why the instance is not known to run {@code wanted}; empty if it is. */
  String behindReason(long wanted) {
    if (revision.isPresent() && revision.getAsLong() >= wanted) {
      return "";
    }
    String reason =
        revision.isEmpty()
            ? "no word of its revision yet"
            : "it runs revision " + revision.getAsLong() + ", older than " + wanted;
    return member == MemberStatus.SUSPECT ? reason + "; it is suspected to be down" : reason;
  }
}

/**
 * Elects the home instance of each database group and supervises the group's primary: fences the
 * earlier homes and promotes a replica when the primary is lost. Start with {@link
 * org.chicorylane.internal.election.HomeElection}.
 */
@NullMarked
package org.chicorylane.internal.election;

import org.jspecify.annotations.NullMarked;

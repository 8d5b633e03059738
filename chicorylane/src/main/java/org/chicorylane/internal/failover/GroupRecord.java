package org.chicorylane.internal.failover;

import java.util.List;
import java.util.TreeSet;
import org.chicorylane.internal.position.TermHistory;

/**
 * The record of a database group in the key-value service: its primary, term and voters. Changed
 * only by compare-and-swap.
 *
 * <p>Immutable and thread-safe.
 *
 * @param term the current term, equal to the primary's PostgreSQL timeline
 * @param primary the name of the server that is primary in this term
 * @param promoter an id unique to each attempt to change the record, by which the writer recognizes
 *     its own change
 * @param history the terms so far and the offset at which each began
 * @param voters the names of the servers of which a majority confirms a write, sorted; a change of
 *     the declared servers is applied here one server at a time, so that any two majorities in
 *     force share a server
 */
public record GroupRecord(
    long term, String primary, String promoter, TermHistory history, List<String> voters) {

  /**
   * Copies and sorts the voters, and checks that the components are consistent.
   *
   * @throws IllegalArgumentException if the term is not the history's current one, or the primary
   *     is not a voter
   */
  public GroupRecord {
    voters = List.copyOf(new TreeSet<>(voters));
    if (history.currentTerm() != term) {
      throw new IllegalArgumentException("term " + term + " does not end history " + history);
    }
    if (!voters.contains(primary)) {
      throw new IllegalArgumentException("primary \"" + primary + "\" is not among " + voters);
    }
  }

  /** Returns how many voters form a majority. */
  public int majority() {
    return voters.size() / 2 + 1;
  }

  /** Returns a copy of this record with another promoter id. */
  GroupRecord withPromoter(String newPromoter) {
    return new GroupRecord(term, primary, newPromoter, history, voters);
  }

  /** Returns a copy of this record with other voters. */
  GroupRecord withVoters(List<String> newVoters) {
    return new GroupRecord(term, primary, promoter, history, newVoters);
  }
}

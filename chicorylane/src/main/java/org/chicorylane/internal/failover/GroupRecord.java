package org.chicorylane.internal.failover;

import java.util.List;
import java.util.TreeSet;
import org.chicorylane.internal.position.TermHistory;

/**
 * The record of a database group in the key-value service, changed by compare-and-swap only.
 *
 * <p>Immutable and thread-safe.
 *
 * @param term the current term, the primary's PostgreSQL timeline
 * @param primary the name of the server that is primary in this term
 * @param promoter unique to each try to change the record, so that its writer knows it again
 * @param history the terms so far and where each began
 * @param voters the names of the servers of which a majority confirms a write, sorted; a change of
 *     the declared servers enters here one server at a time, so that any two majorities in force
 *     share a server
 */
public record GroupRecord(
    long term, String primary, String promoter, TermHistory history, List<String> voters) {

  /**
   * Checks the parts.
   *
   * @throws IllegalArgumentException if the term is not the history's current one, or the primary
   *     is no voter
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

  /** Returns the same record as another try writes it. */
  GroupRecord withPromoter(String newPromoter) {
    return new GroupRecord(term, primary, newPromoter, history, voters);
  }

  /** Returns the same record with other voters. */
  GroupRecord withVoters(List<String> newVoters) {
    return new GroupRecord(term, primary, promoter, history, newVoters);
  }
}

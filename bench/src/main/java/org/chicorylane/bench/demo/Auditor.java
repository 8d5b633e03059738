package org.chicorylane.bench.demo;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.chicorylane.standin.database.LogRecord;
import org.chicorylane.standin.database.LoggedStatement;
import org.chicorylane.standin.database.StandInGroup;
import org.chicorylane.standin.database.StandInServer;

/**
 * Checks the answers that callers received against the logs of the database stand-ins.
 *
 * <p>Every acknowledged insert must be in the log of the newest primary, no insert may be there
 * twice, and no server may have committed an insert that was reported as not run. Only inserts of
 * {@link SessionSchema#CHECK_IN} and {@link SessionSchema#BILLING} are checked; the first parameter
 * identifies each insert.
 *
 * <pre>{@code
 * Auditor.Findings findings = Auditor.audit(group, acknowledgedIds, notRunIds);
 * }</pre>
 *
 * <p>Stateless and thread-safe, but the group must not execute statements during an audit.
 */
public final class Auditor {

  /**
   * The violations that an audit found.
   *
   * @param lost acknowledged writes that are missing from the log of the newest primary
   * @param doubled writes that are in that log more than once
   * @param notRunButRan writes that some server committed although they were reported as not run
   */
  public record Findings(long lost, long doubled, long notRunButRan) {
    /** Returns the sum of these findings and the others. */
    public Findings plus(Findings other) {
      return new Findings(
          lost + other.lost, doubled + other.doubled, notRunButRan + other.notRunButRan);
    }
  }

  private Auditor() {}

  static Findings audit(StandInGroup group, AnswerRecorder recorder) {
    return audit(group, recorder.acknowledgedIds(group.name()), recorder.notRunIds(group.name()));
  }

  /**
   * Audits one group. If the group has no primary, every acknowledged insert counts as lost.
   *
   * @param group the group, which must not execute statements during the audit
   * @param acknowledged identifiers of the inserts that were acknowledged to callers
   * @param notRun identifiers of the inserts that were reported to callers as not run
   */
  public static Findings audit(StandInGroup group, Set<String> acknowledged, Set<String> notRun) {
    StandInServer primary = group.newestPrimary();
    Map<String, Integer> primaryInserts = primary == null ? Map.of() : countInserts(primary);
    final long lost = acknowledged.stream().filter(id -> !primaryInserts.containsKey(id)).count();
    final long doubled = primaryInserts.values().stream().filter(n -> n > 1).count();
    Map<String, Integer> allInserts = new HashMap<>();
    group.servers().forEach(s -> allInserts.putAll(countInserts(s)));
    long notRunButRan = notRun.stream().filter(allInserts::containsKey).count();
    return new Findings(lost, doubled, notRunButRan);
  }

  /** Returns how often each insert is in the log of a server, by the insert's identifier. */
  private static Map<String, Integer> countInserts(StandInServer server) {
    Map<String, Integer> counts = new HashMap<>();
    for (LogRecord record : server.log()) {
      for (LoggedStatement s : record.statements()) {
        if (s.sql().equals(SessionSchema.CHECK_IN) || s.sql().equals(SessionSchema.BILLING)) {
          counts.merge(String.valueOf(s.parameters().get(0)), 1, Integer::sum);
        }
      }
    }
    return counts;
  }
}

package org.chicorylane.bench.demo;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.chicorylane.standin.database.LogRecord;
import org.chicorylane.standin.database.LoggedStatement;
import org.chicorylane.standin.database.StandInGroup;
import org.chicorylane.standin.database.StandInServer;

/**
 * Compares what callers were told with the logs of the database stand-ins.
 *
 * <p>Every acknowledged insert must be in the log of the newest primary, no insert may be there
 * twice, and none that a caller was told was not run may have been committed anywhere. Looks at the
 * inserts of {@link SessionSchema#CHECK_IN} and {@link SessionSchema#BILLING} by their first
 * parameter.
 *
 * <pre>{@code
 * Auditor.Findings findings = Auditor.audit(group, acknowledgedIds, notRunIds);
 * }</pre>
 *
 * <p>Stateless and thread-safe, but the group must be at rest.
 */
public final class Auditor {

  /**
   * What the audit of one group found.
   *
   * @param lost acknowledged writes that the newest primary does not have
   * @param doubled writes that it has more than once
   * @param notRunButRan writes that some server committed although the caller was told otherwise
   */
  public record Findings(long lost, long doubled, long notRunButRan) {
    /** Returns the sums of both. */
    public Findings plus(Findings other) {
      return new Findings(
          lost + other.lost, doubled + other.doubled, notRunButRan + other.notRunButRan);
    }
  }

  private Auditor() {}

  static Findings audit(StandInGroup group, Told told) {
    return audit(group, told.acknowledged(group.name()), told.refused(group.name()));
  }

  /**
   * Audits one group.
   *
   * @param group the group, at rest
   * @param acknowledged identifiers of the inserts that callers were told have landed
   * @param notRun identifiers of the inserts that callers were told were never run
   */
  public static Findings audit(StandInGroup group, Set<String> acknowledged, Set<String> notRun) {
    StandInServer primary = group.newestPrimary();
    Map<String, Integer> kept = primary == null ? Map.of() : inserts(primary);
    final long lost = acknowledged.stream().filter(id -> !kept.containsKey(id)).count();
    final long doubled = kept.values().stream().filter(n -> n > 1).count();
    Map<String, Integer> anywhere = new HashMap<>();
    group.servers().forEach(s -> anywhere.putAll(inserts(s)));
    long ran = notRun.stream().filter(anywhere::containsKey).count();
    return new Findings(lost, doubled, ran);
  }

  private static Map<String, Integer> inserts(StandInServer server) {
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

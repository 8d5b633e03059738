package org.chicorylane.internal.report;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * How fast the error budgets are spent, as counted by one instance, or by several after {@link
 * #merge}.
 *
 * <pre>{@code
 * BurnReport all = first.merge(second);
 * all.objectives().forEach(o -> print(o.name() + " " + o.budgetLeft()));
 * }</pre>
 *
 * <p>Immutable and thread-safe. Each instance counts only the requests that it received from
 * callers itself, so counts can be added. Merging the report of one instance twice counts its
 * requests twice.
 *
 * @param at when the report was made; after a merge, the later of the two times
 * @param instances the instances that the report covers, by name
 * @param objectives the objectives by name
 * @param failoverGaps the failover gaps, oldest first
 * @param reads the reads by group, shortest window first
 */
public record BurnReport(
    Instant at,
    List<InstanceCoverage> instances,
    List<ObjectiveBurn> objectives,
    List<FailoverGap> failoverGaps,
    List<GroupReads> reads) {

  /** Copies the lists. */
  public BurnReport {
    Objects.requireNonNull(at, "at");
    instances = List.copyOf(instances);
    objectives = List.copyOf(objectives);
    failoverGaps = List.copyOf(failoverGaps);
    reads = List.copyOf(reads);
  }

  /**
   * Returns a report that covers the instances of both reports. If two instances report an
   * objective with different declarations, because it has just been changed, each declaration keeps
   * its own row.
   */
  public BurnReport merge(BurnReport other) {
    List<InstanceCoverage> all = new ArrayList<>(instances);
    all.addAll(other.instances);
    all.sort(Comparator.comparing(InstanceCoverage::instance));
    return new BurnReport(
        at.isAfter(other.at) ? at : other.at,
        all,
        mergeObjectives(other.objectives),
        mergeGaps(other.failoverGaps),
        mergeReads(other.reads));
  }

  private List<ObjectiveBurn> mergeObjectives(List<ObjectiveBurn> others) {
    List<ObjectiveBurn> merged = new ArrayList<>(objectives);
    for (ObjectiveBurn other : others) {
      int index = 0;
      while (index < merged.size() && !merged.get(index).isMergeable(other)) {
        index++;
      }
      if (index == merged.size()) {
        merged.add(other);
      } else {
        merged.set(index, merged.get(index).merge(other));
      }
    }
    merged.sort(Comparator.comparing(ObjectiveBurn::name));
    return merged;
  }

  private List<FailoverGap> mergeGaps(List<FailoverGap> others) {
    List<FailoverGap> sorted = new ArrayList<>(failoverGaps);
    sorted.addAll(others);
    sorted.sort(Comparator.comparing(FailoverGap::group).thenComparing(FailoverGap::start));
    List<FailoverGap> merged = new ArrayList<>();
    for (FailoverGap gap : sorted) {
      int last = merged.size() - 1;
      if (last >= 0 && merged.get(last).overlaps(gap)) {
        merged.set(last, merged.get(last).union(gap));
      } else {
        merged.add(gap);
      }
    }
    merged.sort(Comparator.comparing(FailoverGap::start));
    return merged;
  }

  private List<GroupReads> mergeReads(List<GroupReads> others) {
    Map<ReadsKey, GroupReads> sums = new TreeMap<>(ReadsKey.ORDER);
    reads.forEach(r -> sums.put(ReadsKey.of(r), r));
    others.forEach(r -> sums.merge(ReadsKey.of(r), r, BurnReport::addReads));
    return List.copyOf(sums.values());
  }

  private static GroupReads addReads(GroupReads a, GroupReads b) {
    return new GroupReads(
        a.group(), a.window(), a.replica() + b.replica(), a.primary() + b.primary());
  }

  private record ReadsKey(String group, Duration window) {
    static final Comparator<ReadsKey> ORDER =
        Comparator.comparing(ReadsKey::group).thenComparing(ReadsKey::window);

    static ReadsKey of(GroupReads reads) {
      return new ReadsKey(reads.group(), reads.window());
    }
  }
}

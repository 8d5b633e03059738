package org.chicorylane.internal.election;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Draws histories of a small group (commits, deaf spells, crashes, promotions, a home that forgets
 * what it acknowledged, reports that come late) and checks each choice: a promoted log holds every
 * acknowledged commit, and after the faults the group has a primary again.
 *
 * <p>{@code -Dchoice.seeds=100000 -Dchoice.firstSeed=1} runs more seeds.
 */
final class PromotionChoiceRandomisedTest {

  private static final int STEPS = 80;

  /** Attempts after the faults within which the group must have a primary. */
  private static final int MAXIMUM_ATTEMPTS = 4;

  static LongStream firstSeeds() {
    long first = Long.getLong("choice.firstSeed", 1);
    return LongStream.range(0, Long.getLong("choice.seeds", 20_000) / 1_000)
        .map(n -> first + 1_000 * n);
  }

  @ParameterizedTest
  @MethodSource("firstSeeds")
  void testPromotedLogHoldsEveryAcknowledgedCommit(long firstSeed) {
    int choices = 0;
    int waits = 0;
    for (long seed = firstSeed; seed < firstSeed + 1_000; seed++) {
      History history = new History(seed, false);
      history.run();
      choices += history.choices;
      waits += history.needlessWaits;
    }
    System.out.printf("%d choices, %d waits beside a server that holds all%n", choices, waits);
    assertWithMessage("promotions").that(choices).isGreaterThan(waits);
  }

  // Guards against a server that starts again empty, at a home that knows what it acknowledged.
  @ParameterizedTest
  @MethodSource("firstSeeds")
  void testPromotedLogHoldsEveryAcknowledgedCommitThoughServersLoseTheirLogs(long firstSeed) {
    for (long seed = firstSeed; seed < firstSeed + 1_000; seed++) {
      new History(seed, true).run();
    }
  }

  /** One history, in which a home replaces the primary as {@code PrimarySupervisor} does. */
  private static final class History {
    private final long seed;
    private final Random random;
    private final boolean losesLogs;
    private final SmallGroup group = new SmallGroup();
    private final LogReports reports = new LogReports();
    private String primaryId = "a";
    private long term = 1;
    private @Nullable LogPosition bound;
    private LogPosition acknowledged = LogPosition.ZERO;
    private LogPosition leastAcknowledged = LogPosition.ZERO;
    private long nowNanos;
    private boolean lostLog;
    int choices;
    int needlessWaits;

    History(long seed, boolean losesLogs) {
      this.seed = seed;
      this.random = new Random(seed);
      this.losesLogs = losesLogs;
    }

    void run() {
      for (int i = 0; i < STEPS; i++) {
        step();
      }
      group.servers().forEach(this::endFaults);
      int attempts = 0;
      while (!isLed() && attempts < MAXIMUM_ATTEMPTS) {
        attempt(1);
        attempts++;
      }
      assertWithMessage("seed %s: the group has a primary after the faults", seed)
          .that(isLed())
          .isTrue();
    }

    private void endFaults(SmallGroup.Server s) {
      if (!s.runs) {
        group.restart(s);
      }
      s.deaf = false;
      s.silent = false;
    }

    private boolean isLed() {
      SmallGroup.Server primary = group.server(primaryId);
      return primary.reports() && primary.primary && primary.term == term;
    }

    private void step() {
      SmallGroup.Server any = group.servers().get(random.nextInt(3));
      switch (random.nextInt(12)) {
        case 0 -> any.deaf = !any.deaf;
        case 1 -> any.silent = !any.silent;
        case 2 -> crashOrRestart(any);
        case 3, 4 -> attempt(random.nextInt(4) == 0 ? 0.5 : 1);
        case 5 -> forget();
        case 6 -> any.stepDown(group.leader().term);
        case 7 -> loseLog(any);
        case 8 -> group.replicate();
        default -> commit();
      }
    }

    private void crashOrRestart(SmallGroup.Server s) {
      if (s.runs) {
        s.runs = false;
      } else {
        group.restart(s);
      }
    }

    /** Lets one server of the group start again empty, at most once. */
    private void loseLog(SmallGroup.Server s) {
      if (losesLogs && !lostLog && !s.primary) {
        lostLog = true;
        s.log.clear();
        s.term = 0;
        group.restart(s);
      }
    }

    /** Has another home continue, which knows nothing of what the earlier ones acknowledged. */
    private void forget() {
      if (!losesLogs) {
        bound = null;
        acknowledged = LogPosition.ZERO;
        leastAcknowledged = LogPosition.ZERO;
      }
    }

    private void commit() {
      SmallGroup.Server primary = group.server(primaryId);
      if (!isLed()) {
        return;
      }
      LogPosition before = primary.end();
      if (group.commit(primary)) {
        group.acknowledge();
        leastAcknowledged = before.next().max(new LogPosition(term, 0));
        acknowledged = primary.end();
        bound = bound == null ? null : bound.max(acknowledged);
      }
    }

    /** Tries to replace the primary; each report arrives in time with a probability. */
    private void attempt(double arrives) {
      long newestTerm = group.servers().stream().mapToLong(s -> s.term).max().orElse(0);
      reports.start(newestTerm, ++nowNanos);
      List<SmallGroup.Server> order = new java.util.ArrayList<>(group.servers());
      Collections.shuffle(order, random);
      for (SmallGroup.Server s : order) {
        if (s.reports()) {
          report(s, random.nextDouble() < arrives, random.nextDouble() < arrives);
        }
      }
      choose();
      if (isLed()) {
        group.servers().forEach(s -> s.sealedTerm = 0);
      }
    }

    private void report(SmallGroup.Server s, boolean arrives, boolean stepsDown) {
      s.seal(reports.sealTerm());
      if (arrives) {
        reports.add(s.id, s.status(), nowNanos);
      }
      if (stepsDown && reports.isReplaced(s.status())) {
        s.stepDown(reports.newestTerm());
        s.seal(reports.sealTerm());
        reports.add(s.id, s.status(), nowNanos);
      }
    }

    private void choose() {
      PromotionChoice choice =
          PromotionChoice.choose(
              new PromotionChoice.Basis(
                  group.entries(),
                  Set.of(),
                  reports,
                  primaryId,
                  term,
                  bound,
                  acknowledged,
                  leastAcknowledged,
                  null));
      choices++;
      if (choice instanceof PromotionChoice.Promote p) {
        promote(group.server(p.server().id()), p.received());
      } else if (choice instanceof PromotionChoice.Leads leads) {
        primaryId = leads.serverId();
        term = leads.term();
      } else if (choice instanceof PromotionChoice.CatchUp) {
        group.servers().forEach(s -> s.sealedTerm = 0);
        group.replicate();
      } else if (!isLed() && group.servers().stream().anyMatch(this::isSafe)) {
        needlessWaits++;
      }
    }

    private boolean isSafe(SmallGroup.Server s) {
      return s.reports() && s.sealedTerm > 0 && !s.primary && group.lackedBy(s).isEmpty();
    }

    private void promote(SmallGroup.Server s, LogPosition received) {
      Set<Integer> lacked = group.lackedBy(s);
      boolean isHeld =
          group.servers().stream().anyMatch(each -> each.commits().containsAll(lacked));
      assertWithMessage("seed %s: commits that server %s lacks", seed, s.id)
          .that(isHeld ? lacked : Set.of())
          .isEmpty();
      group.promote(s);
      primaryId = s.id;
      term = s.term;
      bound = received.max(acknowledged);
    }
  }
}

package org.chicorylane.internal.election.model;

import static org.chicorylane.internal.election.model.ModelState.CHANGING;
import static org.chicorylane.internal.election.model.ModelState.EVERYTHING;
import static org.chicorylane.internal.election.model.ModelState.IDLE;
import static org.chicorylane.internal.election.model.ModelState.IS_HOME;
import static org.chicorylane.internal.election.model.ModelState.NEW_WRITES;
import static org.chicorylane.internal.election.model.ModelState.NONE;
import static org.chicorylane.internal.election.model.ModelState.PROMOTING;
import static org.chicorylane.internal.election.model.ModelState.SERVERS;
import static org.chicorylane.internal.election.model.ModelState.STANDS_IN;
import static org.chicorylane.internal.election.model.ModelState.STEADY;
import static org.chicorylane.internal.election.model.ModelState.SUCCESSES;
import static org.chicorylane.internal.election.model.ModelState.bit;

import org.chicorylane.internal.election.model.ModelState.Group;
import org.chicorylane.internal.election.model.ModelState.Instance;
import org.chicorylane.internal.election.model.ModelState.Server;

/** Steps of the instances and their record. Some hold only as conditions of the rule say. */
enum HomeStep implements Step {
  /** The successor reads the record, which renews its lease. */
  RENEW_LEASE(
      Range.INSTANCE, Range.NOTHING, "{a} reads as successor that it may stand in, or not") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int unused) {
      return s.get(Group.SUCCESSOR) == i
          && (s.get(Instance.LEASE, i) == 0
              || s.get(Instance.EPOCH, i) != s.get(Group.EPOCH)
              || (s.get(Instance.ROLE, i) == IDLE
                  && s.get(Instance.TERM, i) != termToStandIn(s, i)));
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int unused) {
      boolean isOutdated = s.get(Instance.EPOCH, i) != s.get(Group.EPOCH);
      if (s.get(Instance.ROLE, i) != IDLE && isOutdated) {
        retire(s, rules, i);
      }
      s.set(Instance.LEASE, i, 1);
      if (s.get(Instance.ROLE, i) == IDLE) {
        s.set(Instance.TERM, i, termToStandIn(s, i));
        s.set(Instance.EPOCH, i, s.get(Group.EPOCH));
      }
    }

    private int termToStandIn(ModelState s, int i) {
      boolean mayStandIn = s.get(Group.PROMOTING) == NONE && s.get(Instance.BARRED, i) == 0;
      return mayStandIn ? s.get(Group.RECORD_TERM) : 0;
    }
  },

  RESTART_INSTANCE(Range.INSTANCE, Range.NOTHING, "{a} is killed and starts again") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int unused) {
      return s.get(Group.INSTANCE_RESTARTS) < rules.bounds().instanceRestarts();
    }

    @Override
    public boolean isFault() {
      return true;
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int unused) {
      s.set(Group.INSTANCE_RESTARTS, s.get(Group.INSTANCE_RESTARTS) + 1);
      s.closePool(i, true);
      s.set(Instance.BOUND, i, 0);
      s.set(Instance.ACKNOWLEDGED, i, 0);
      boolean isNamed = ((s.instancesToExclude() | bit(s.get(Group.HOME))) & bit(i)) != 0;
      s.set(Instance.FORGOT, i, isNamed ? 1 : 0);
    }
  },

  STAND_IN(Range.INSTANCE, Range.NOTHING, "{a} stands in for the home") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int unused) {
      return s.get(Instance.ROLE, i) == IDLE
          && s.get(Instance.LEASE, i) == 1
          && s.get(Instance.TERM, i) > 0;
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int unused) {
      s.openPool(i, STANDS_IN, s.get(Instance.TERM, i));
    }
  },

  CLAIM(Range.INSTANCE, Range.INSTANCE_OR_NONE, "{a} becomes the home, with {b} as successor") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int choice) {
      boolean hasCandidate = s.get(Group.HOME) == i || rules.bounds().instances() > 2;
      int successor = choice - 1;
      boolean isCandidate =
          successor == NONE ? !hasCandidate : successor != i && successor != s.get(Group.HOME);
      return isCandidate && !s.isRecordedHome(i) && s.get(Group.EPOCH) < rules.bounds().epochs();
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int choice) {
      boolean isOutdated = s.get(Instance.EPOCH, i) != s.get(Group.EPOCH);
      boolean keepsPool = s.get(Instance.ROLE, i) == STANDS_IN && !isOutdated;
      if (s.get(Instance.ROLE, i) != IDLE && !keepsPool) {
        retire(s, rules, i);
      }
      s.forgetAttempt(s.get(Group.HOME));
      int prior = (s.instancesToExclude() | bit(s.get(Group.HOME))) & ~bit(i);
      s.set(Group.PRIOR_HOMES, prior);
      s.set(Group.EPOCH, s.get(Group.EPOCH) + 1);
      s.set(Group.HOME, i);
      s.set(Group.SUCCESSOR, choice - 1);
      s.onRecordWritten();
      beginAsHome(s, rules, i, keepsPool);
    }

    private void beginAsHome(ModelState s, ModelRules rules, int i, boolean keepsPool) {
      if (!keepsPool && !rules.keeps(Condition.HALT_RETIRED_WORK)) {
        s.set(Instance.BOUND, i, 0);
        s.set(Instance.ACKNOWLEDGED, i, 0);
      }
      s.openPool(i, IS_HOME, s.get(Group.RECORD_TERM));
      s.set(Instance.LEASE, i, 1);
      s.set(Instance.EPOCH, i, s.get(Group.EPOCH));
      if (s.get(Group.PROMOTING) != NONE && rules.keeps(Condition.WAIT_FOR_INHERITED_PROMOTION)) {
        s.set(Instance.SERVED, i, keepsPool ? 1 : 0);
        s.set(Instance.PHASE, i, CHANGING);
        s.set(Instance.HALT, i, EVERYTHING);
      }
    }
  },

  START_CHANGE(Range.INSTANCE, Range.NOTHING, "{a} starts to replace the primary") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int unused) {
      return s.isRecordedHome(i)
          && s.get(Instance.PHASE, i) == STEADY
          && s.get(Instance.TERM, i) == s.get(Group.RECORD_TERM);
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int unused) {
      s.set(Instance.PHASE, i, CHANGING);
      s.set(Instance.HALT, i, Math.max(NEW_WRITES, s.get(Instance.HALT, i)));
      s.clearAttempt(i);
    }
  },

  RETURN_TO_PRIMARY(Range.INSTANCE, Range.NOTHING, "{a} keeps the primary after all") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int unused) {
      return s.isRecordedHome(i)
          && s.get(Instance.PHASE, i) == CHANGING
          && s.get(Group.PROMOTING) == NONE;
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int unused) {
      if (s.get(Group.LATE_PROMOTING) != NONE
          && rules.keeps(Condition.OVERWRITE_UNANSWERED_PROMOTION)) {
        writeWithoutPromotion(s, rules, i);
      }
      s.set(Instance.PHASE, i, STEADY);
      s.set(Instance.HALT, i, 0);
      s.clearAttempt(i);
    }
  },

  EXCLUDE_BY_ANSWER(Range.INSTANCE, Range.INSTANCE, "{a} hears that {b} has stopped") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int other) {
      return isChanging(s, i) && isToBeExcluded(s, i, other);
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int other) {
      s.closePool(other, true);
      s.set(Instance.BARRED, other, 1);
      s.set(Instance.EXCLUDED, i, s.get(Instance.EXCLUDED, i) | bit(other));
      if (rules.keeps(Condition.REPEAT_STOP_ANSWER)) {
        s.raiseBound(i, s.get(Instance.BOUND, other));
      }
      if (s.get(Instance.FORGOT, other) == 1
          && rules.keeps(Condition.LOSE_BOUND_WITH_UNKNOWN_HOLDER)) {
        s.set(Instance.BOUND_KNOWN, i, 0);
      }
    }
  },

  /** A partition refuses the connection; the instance behind it runs and learns nothing. */
  EXCLUDE_BY_REFUSAL(Range.INSTANCE, Range.INSTANCE, "{a} is refused a connection to {b}") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int other) {
      return !rules.keeps(Condition.COUNT_CONFIRMED_STOPS_ONLY)
          && isChanging(s, i)
          && isToBeExcluded(s, i, other);
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int other) {
      s.set(Instance.EXCLUDED, i, s.get(Instance.EXCLUDED, i) | bit(other));
      if (rules.keeps(Condition.LOSE_BOUND_WITH_UNKNOWN_HOLDER)) {
        s.set(Instance.BOUND_KNOWN, i, 0);
      }
    }
  },

  /** The lease of another instance ends, at the latest when a home regards it as ended. */
  EXCLUDE_BY_TIME(Range.INSTANCE, Range.INSTANCE, "for {a}, the lease of {b} has surely ended") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int other) {
      return isChanging(s, i) && isToBeExcluded(s, i, other) && s.get(Group.SUCCESSOR) != other;
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int other) {
      s.set(Instance.LEASE, other, 0);
      s.set(Instance.RETIRED_LEASE, other, 0);
      s.set(Instance.EXCLUDED, i, s.get(Instance.EXCLUDED, i) | bit(other));
      if (rules.keeps(Condition.LOSE_BOUND_WITH_UNKNOWN_HOLDER)) {
        s.set(Instance.BOUND_KNOWN, i, 0);
      }
    }
  },

  REMOVE_SUCCESSOR(Range.INSTANCE, Range.NOTHING, "{a} removes the successor from the record") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int unused) {
      return isChanging(s, i)
          && s.get(Group.SUCCESSOR) != NONE
          && isToBeExcluded(s, i, s.get(Group.SUCCESSOR));
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int unused) {
      s.set(Group.PRIOR_HOMES, s.instancesToExclude());
      s.set(Group.SUCCESSOR, NONE);
      s.set(Instance.LEASE, i, 1);
      s.onRecordWritten();
    }
  },

  /** The home learns the end of the primary's log, which bounds all acknowledged commits. */
  READ_PRIMARY(Range.INSTANCE, Range.NOTHING, "{a} reads the end of the primary's log") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int unused) {
      return isChanging(s, i)
          && s.isLed(s.get(Instance.TERM, i))
          && (s.hasExcludedAll(i) || !rules.keeps(Condition.LEARN_BOUND_AFTER_EXCLUSION));
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int unused) {
      s.raiseBound(i, s.logEnd(s.primaryOf(i)));
      s.set(Instance.BOUND_KNOWN, i, 1);
    }
  },

  STOP_REPLICA(Range.INSTANCE, Range.SERVER, "{a} stops {b} and reads the end of its log") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int server) {
      return isChanging(s, i)
          && s.hasExcludedAll(i)
          && s.runs(server)
          && isStoppable(s, rules, i, server);
    }

    private boolean isStoppable(ModelState s, ModelRules rules, int i, int server) {
      boolean seesNewestPrimary = s.isLed(s.newestTerm());
      if (s.get(Server.TERM, server) > s.get(Instance.TERM, i) && seesNewestPrimary) {
        return false;
      }
      if (s.primaryOf(i) == server) {
        return !s.isPrimary(server) && rules.keeps(Condition.CHOOSE_FORMER_PRIMARY);
      }
      return !s.isPrimary(server) || !rules.keeps(Condition.COUNT_REPLACED_PRIMARY_AS_SILENT);
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int server) {
      if (s.isPrimary(server)) {
        // It only says that it leads; its log is not compared with the others.
        s.setAnswer(i, server, 0);
        return;
      }
      s.set(Server.STOPPED, server, 1);
      s.setAnswer(i, server, s.logEnd(server));
    }
  },

  STEP_DOWN(Range.INSTANCE, Range.SERVER, "{a} has {b} step down, which leads an earlier term") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int server) {
      return rules.keeps(Condition.STEP_DOWN_REPLACED_PRIMARY)
          && s.runs(server)
          && s.isPrimary(server)
          && s.get(Server.TERM, server) < newestKnownTerm(s, i);
    }

    private int newestKnownTerm(ModelState s, int i) {
      int newest = s.isRecordedHome(i) ? s.get(Group.RECORD_TERM) : 0;
      for (int server = 0; server < SERVERS; server++) {
        if (isChanging(s, i) && s.hasExcludedAll(i) && s.runs(server)) {
          newest = Math.max(newest, s.get(Server.TERM, server));
        }
      }
      return newest;
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int server) {
      s.set(Server.STEPPED_DOWN, server, 1);
    }
  },

  /** The answer to a plain question, which does not stop the replica. */
  READ_REPLICA(Range.INSTANCE, Range.SERVER, "{a} reads the end of the log of {b}, not stopped") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int server) {
      return !rules.keeps(Condition.COUNT_STOPPED_ANSWERS_ONLY)
          && isChanging(s, i)
          && s.runs(server)
          && s.get(Server.TERM, server) <= s.get(Instance.TERM, i)
          && s.primaryOf(i) != server;
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int server) {
      s.setAnswer(i, server, s.logEnd(server));
    }
  },

  CHOOSE(Range.INSTANCE, Range.SERVER, "{a} chooses {b} and records the promotion") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int target) {
      return mayChoose(s, rules, i, target);
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int target) {
      boolean remembers =
          s.get(Group.PROMOTING) != NONE || rules.keeps(Condition.REMEMBER_REPEATED_ORDERS);
      if (remembers && rules.keeps(Condition.ONE_TARGET)) {
        rules.platform().awaitEndOfOrdersExcept(s, target);
      }
      s.recordPromotion(target);
      s.set(Instance.PHASE, i, PROMOTING);
      s.set(Instance.HALT, i, Math.max(SUCCESSES, s.get(Instance.HALT, i)));
      for (int server = 0; server < SERVERS; server++) {
        s.setAnswer(i, server, server == target ? s.answer(i, target) : NONE);
      }
      s.set(Instance.TARGET, i, target);
    }
  },

  /** A home chooses a server, but gets no answer to the write of the record. */
  CHOOSE_UNANSWERED(Range.INSTANCE, Range.SERVER, "{a} chooses {b}; the write is not answered") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int target) {
      return s.get(Group.PROMOTING) == NONE
          && s.get(Group.LATE_PROMOTING) == NONE
          && mayChoose(s, rules, i, target);
    }

    @Override
    public boolean isFault() {
      return true;
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int target) {
      s.set(Group.LATE_PROMOTING, target);
      s.set(Instance.HALT, i, Math.max(SUCCESSES, s.get(Instance.HALT, i)));
      s.clearAttempt(i);
    }
  },

  APPLY_UNANSWERED(Range.INSTANCE, Range.NOTHING, "the unanswered write of {a} is applied") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int unused) {
      return s.get(Group.HOME) == i && s.get(Group.LATE_PROMOTING) != NONE;
    }

    @Override
    public boolean isFault() {
      return true;
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int unused) {
      s.recordPromotion(s.get(Group.LATE_PROMOTING));
    }
  },

  /** A home that inherited a promotion orders the same server, under its own token. */
  REPEAT_PROMOTION(Range.INSTANCE, Range.NOTHING, "{a} goes on with the recorded promotion") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int unused) {
      return rules.keeps(Condition.WAIT_FOR_INHERITED_PROMOTION)
          && isChanging(s, i)
          && s.hasExcludedAll(i)
          && s.get(Group.PROMOTING) != NONE;
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int unused) {
      s.set(Instance.PHASE, i, PROMOTING);
      s.clearAttempt(i);
      s.set(Instance.TARGET, i, s.get(Group.PROMOTING));
    }
  },

  ORDER(Range.INSTANCE, Range.NOTHING, "{a} orders the promotion of its target") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int unused) {
      return s.get(Instance.ROLE, i) == IS_HOME
          && s.get(Instance.PHASE, i) == PROMOTING
          && s.get(Instance.LEASE, i) == 1
          && (s.get(Server.ORDERED, s.get(Instance.TARGET, i)) == 0
              || s.get(Instance.HALT, i) != EVERYTHING
              || s.get(Instance.EPOCH, i) != s.get(Group.LAST_ORDER_EPOCH));
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int unused) {
      int target = s.get(Instance.TARGET, i);
      int epoch = s.get(Instance.EPOCH, i);
      s.set(Instance.HALT, i, EVERYTHING);
      rules.platform().onOrder(s, target);
      boolean conflicts = epoch < s.get(Group.LAST_ORDER_EPOCH);
      for (int other = 0; other < rules.bounds().instances(); other++) {
        boolean serves = other != i && s.mayRead(other);
        conflicts |= serves && s.primaryOf(other) != target;
      }
      s.set(Group.ORDER_CONFLICT, conflicts ? 1 : 0);
      s.set(Group.LAST_ORDER_EPOCH, Math.max(epoch, s.get(Group.LAST_ORDER_EPOCH)));
    }
  },

  RETRY_CHANGE(Range.INSTANCE, Range.NOTHING, "{a} starts the change again") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int unused) {
      return s.isRecordedHome(i) && s.get(Instance.PHASE, i) == PROMOTING;
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int unused) {
      s.set(Instance.PHASE, i, CHANGING);
      s.clearAttempt(i);
    }
  },

  /** A home sees that another server leads a later term. */
  ADOPT_PRIMARY(Range.INSTANCE, Range.NOTHING, "{a} adopts the newest primary") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int unused) {
      return s.get(Instance.ROLE, i) == IS_HOME
          && s.get(Instance.TERM, i) < s.newestTerm()
          && s.isLed(s.newestTerm())
          && (mayAdopt(s, rules, i, s.leader(s.newestTerm()))
              || !rules.keeps(Condition.ADOPT_RECORDED_TARGET_ONLY));
    }

    private boolean mayAdopt(ModelState s, ModelRules rules, int i, int primary) {
      if (!s.isRecordedHome(i)) {
        return s.get(Instance.PHASE, i) == STEADY || s.get(Instance.TARGET, i) == primary;
      }
      int promoting = s.get(Group.PROMOTING);
      return promoting == NONE
          || promoting == primary
          || (s.hasExcludedAll(i) && rules.platform().hasBound());
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int unused) {
      int primary = s.leader(s.newestTerm());
      boolean replacesPromotion =
          s.isRecordedHome(i)
              && s.get(Group.PROMOTING) != NONE
              && s.get(Group.PROMOTING) != primary;
      if (replacesPromotion && rules.keeps(Condition.ADOPT_RECORDED_TARGET_ONLY)) {
        rules.platform().awaitEndOfOrdersExcept(s, primary);
      }
      int promotedEnd = s.answer(i, primary);
      boolean isOwnPromotion =
          s.get(Instance.PHASE, i) == PROMOTING
              && s.get(Instance.TARGET, i) == primary
              && s.get(Instance.TERM, i) + 1 == s.newestTerm()
              && promotedEnd != NONE;
      if (isOwnPromotion) {
        s.raiseBound(i, promotedEnd);
      }
      boolean isKnown =
          isOwnPromotion
              || (s.get(Instance.BOUND_KNOWN, i) == 1
                  && !rules.keeps(Condition.LOSE_BOUND_WITH_UNKNOWN_HOLDER));
      s.set(Instance.BOUND_KNOWN, i, isKnown ? 1 : 0);
      if (rules.keeps(Condition.NO_SUCCESS_OF_EARLIER_TERM)) {
        s.endEarlierWork(i);
      }
      s.set(Instance.TERM, i, s.newestTerm());
      s.set(Instance.SERVED, i, 1);
      s.set(Instance.PHASE, i, STEADY);
      s.set(Instance.HALT, i, 0);
      s.clearAttempt(i);
      if (replacesPromotion && rules.keeps(Condition.RECORD_OTHER_PRIMARY_FIRST)) {
        RECORD_PRIMARY.apply(s, rules, i, 0);
      }
    }
  },

  RECORD_PRIMARY(Range.INSTANCE, Range.NOTHING, "{a} records its primary") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int unused) {
      return s.isRecordedHome(i) && s.get(Instance.TERM, i) > s.get(Group.RECORD_TERM);
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int unused) {
      s.set(Group.RECORD_TERM, s.get(Instance.TERM, i));
      s.set(Group.PROMOTING, NONE);
      if ((s.get(Group.PRIOR_HOMES) & ~s.get(Instance.EXCLUDED, i)) == 0) {
        s.clearPriorHomes();
      }
      writeWithoutPromotion(s, rules, i);
    }
  },

  RESUME(Range.INSTANCE, Range.SERVER, "{a} lets {b} receive again") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int server) {
      boolean isAllowed =
          !rules.keeps(Condition.RESUME_WITH_LEASE_ONLY)
              || (s.get(Instance.LEASE, i) == 1
                  && s.isRecordedHome(i)
                  && s.get(Group.PROMOTING) == NONE);
      return isAllowed
          && s.get(Instance.ROLE, i) == IS_HOME
          && s.get(Instance.PHASE, i) == STEADY
          && s.runs(server)
          && s.get(Server.STOPPED, server) == 1;
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int server) {
      s.set(Server.STOPPED, server, 0);
    }
  },

  RESUME_DURING_CHANGE(Range.INSTANCE, Range.SERVER, "{a} lets {b} catch up with its primary") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int server) {
      return rules.keeps(Condition.RESUME_BEHIND_LEADER)
          && isChanging(s, i)
          && s.runs(server)
          && s.get(Server.STOPPED, server) == 1
          && s.isLed(s.get(Instance.TERM, i))
          && !s.covers(s.logEnd(server), s.logEnd(s.primaryOf(i)));
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int server) {
      s.set(Server.STOPPED, server, 0);
      s.clearAttempt(i);
    }
  };

  private final Range first;
  private final Range second;
  private final String text;

  HomeStep(Range first, Range second, String text) {
    this.first = first;
    this.second = second;
    this.text = text;
  }

  @Override
  public Range first() {
    return first;
  }

  @Override
  public Range second() {
    return second;
  }

  @Override
  public String text() {
    return text;
  }

  private static boolean isChanging(ModelState s, int i) {
    return s.isRecordedHome(i) && s.get(Instance.PHASE, i) == CHANGING;
  }

  private static boolean isToBeExcluded(ModelState s, int home, int other) {
    return home != other
        && (s.instancesToExclude() & bit(other)) != 0
        && (s.get(Instance.EXCLUDED, home) & bit(other)) == 0;
  }

  /** Writes a record under which the successor may stand in again. */
  private static void writeWithoutPromotion(ModelState s, ModelRules rules, int home) {
    int successor = s.get(Group.SUCCESSOR);
    if (successor != NONE && rules.keeps(Condition.EXCLUDE_SUCCESSOR_AGAIN)) {
      s.set(Instance.EXCLUDED, home, s.get(Instance.EXCLUDED, home) & ~bit(successor));
    }
    s.set(Instance.LEASE, home, 1);
    s.onRecordWritten();
  }

  private static boolean mayChoose(ModelState s, ModelRules rules, int i, int target) {
    boolean isCandidate = s.primaryOf(i) != target || rules.keeps(Condition.CHOOSE_FORMER_PRIMARY);
    return isChanging(s, i)
        && s.hasExcludedAll(i)
        && isCandidate
        && !s.isPrimary(target)
        && s.answer(i, target) != NONE
        && holdsAllAcknowledged(s, rules, i, target);
  }

  private static boolean holdsAllAcknowledged(ModelState s, ModelRules rules, int i, int target) {
    int end = s.answer(i, target);
    boolean coversBound = s.covers(end, s.get(Instance.BOUND, i));
    boolean coversAnswers = true;
    boolean allAnswered = true;
    for (int other = 0; other < SERVERS; other++) {
      int otherEnd = s.answer(i, other);
      if (otherEnd != NONE) {
        coversAnswers &= s.covers(end, otherEnd);
      } else if (other != s.primaryOf(i) && s.isMember(other)) {
        allAnswered = false;
      }
    }
    if (!allAnswered || !rules.keeps(Condition.REMEMBER_MEMBERS)) {
      boolean isComplete = !rules.keeps(Condition.REMEMBER_MEMBERS);
      return isComplete || (coversBound && s.get(Instance.BOUND_KNOWN, i) == 1);
    }
    boolean coversOwn = s.covers(end, s.get(Instance.ACKNOWLEDGED, i));
    return coversAnswers && (coversOwn || !rules.keeps(Condition.COVER_OWN_SUCCESSES));
  }

  /** Retires the pool; if success was held back in it, its commits end in doubt. */
  private static void retire(ModelState s, ModelRules rules, int i) {
    boolean endsWork =
        s.get(Instance.HALT, i) >= SUCCESSES && rules.keeps(Condition.NO_SUCCESS_AFTER_CHOICE);
    s.closePool(i, endsWork);
  }
}

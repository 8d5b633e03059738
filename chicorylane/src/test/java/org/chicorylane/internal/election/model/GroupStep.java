package org.chicorylane.internal.election.model;

import static org.chicorylane.internal.election.model.ModelState.ACKNOWLEDGED;
import static org.chicorylane.internal.election.model.ModelState.CONFIRMED;
import static org.chicorylane.internal.election.model.ModelState.IDLE;
import static org.chicorylane.internal.election.model.ModelState.LOGGED;
import static org.chicorylane.internal.election.model.ModelState.SUCCESSES;
import static org.chicorylane.internal.election.model.ModelState.bit;

import org.chicorylane.internal.election.model.ModelState.Commit;
import org.chicorylane.internal.election.model.ModelState.Group;
import org.chicorylane.internal.election.model.ModelState.Instance;
import org.chicorylane.internal.election.model.ModelState.Server;

/** Steps of the servers, of orders that take effect, and of answers to clients. */
enum GroupStep implements Step {
  /** A statement that an instance sent, possibly long ago, is logged by the primary. */
  LOG_COMMIT(Range.INSTANCE, Range.POOL, "a commit of {a} by {b} is logged") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int i, int pool) {
      int term = termOf(s, i, pool);
      return s.get(Group.COMMITS) < rules.bounds().commits() && term > 0 && s.isLed(term);
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int i, int pool) {
      int term = termOf(s, i, pool);
      int commit = s.get(Group.COMMITS) + 1;
      s.set(Group.COMMITS, commit);
      s.set(Commit.TERM, commit, term);
      s.set(Commit.STAGE, commit, LOGGED);
      s.set(Commit.INSTANCE, commit, i);
      s.set(Commit.RETIRED, commit, pool);
      s.set(Server.LOG, s.leader(term), s.log(s.leader(term)) | bit(commit));
    }

    private int termOf(ModelState s, int i, int pool) {
      if (pool == 1) {
        return s.get(Instance.RETIRED_TERM, i);
      }
      return s.get(Instance.SERVED, i) == 1 ? s.get(Instance.TERM, i) : 0;
    }
  },

  RECEIVE(Range.SERVER, Range.NOTHING, "{a} receives the next commit") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int server, int unused) {
      return !s.isPrimary(server)
          && s.runs(server)
          && s.get(Server.STOPPED, server) == 0
          && s.isLed(s.get(Server.TERM, server))
          && s.nextToReceive(server) != 0;
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int server, int unused) {
      int commit = s.nextToReceive(server);
      s.set(Server.LOG, server, s.log(server) | bit(commit));
      boolean isOwnTerm = s.get(Commit.TERM, commit) == s.get(Server.TERM, server);
      if (isOwnTerm && s.get(Commit.STAGE, commit) == LOGGED) {
        s.set(Commit.STAGE, commit, CONFIRMED);
      }
    }
  },

  /** A server of an earlier term follows the newest primary and drops what that one lacks. */
  FOLLOW(Range.SERVER, Range.NOTHING, "{a} follows the newest primary") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int server, int unused) {
      return s.get(Server.TERM, server) < s.newestTerm()
          && s.runs(server)
          && s.isLed(s.newestTerm());
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int server, int unused) {
      s.set(Server.TERM, server, s.newestTerm());
      s.set(Server.STEPPED_DOWN, server, 0);
      s.set(Server.LOG, server, s.log(server) & s.log(s.leader(s.newestTerm())));
    }
  },

  RESTART_REPLICA(Range.SERVER, Range.NOTHING, "{a}, which was stopped, restarts and receives") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int server, int unused) {
      return s.get(Server.STOPPED, server) == 1
          && s.runs(server)
          && s.get(Group.REPLICA_RESTARTS) < rules.bounds().replicaRestarts();
    }

    @Override
    public boolean isFault() {
      return true;
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int server, int unused) {
      s.set(Group.REPLICA_RESTARTS, s.get(Group.REPLICA_RESTARTS) + 1);
      s.set(Server.STOPPED, server, 0);
    }
  },

  /** A server crashes for good, whatever its role. */
  LOSE_SERVER(Range.SERVER, Range.NOTHING, "{a} crashes and does not come back") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int server, int unused) {
      return rules.bounds().serverLosses() > 0 && s.get(Group.LOST_SERVER) == ModelState.NONE;
    }

    @Override
    public boolean isFault() {
      return true;
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int server, int unused) {
      s.set(Group.LOST_SERVER, server);
    }
  },

  FORGET_LOST_SERVER(Range.NOTHING, Range.NOTHING, "the lost server counts as no member any more") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int unused, int alsoUnused) {
      return s.get(Group.LOST_SERVER) != ModelState.NONE && s.get(Group.LOST_SERVER_FORGOTTEN) == 0;
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int unused, int alsoUnused) {
      s.set(Group.LOST_SERVER_FORGOTTEN, 1);
    }
  },

  /** An order takes effect, possibly again, since the call may have been repeated. */
  ORDER_TAKES_EFFECT(Range.SERVER, Range.NOTHING, "an order to promote {a} takes effect") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int server, int unused) {
      return s.get(Server.ORDERED, server) > 0
          && s.runs(server)
          && s.leader(s.newestTerm()) != server
          && s.newestTerm() < rules.bounds().terms();
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int server, int unused) {
      rules.platform().onEffect(s, server);
      s.beginTerm(server);
    }
  },

  /** An instance passes the success of a commit on to the client. */
  REPORT_SUCCESS(Range.COMMIT, Range.NOTHING, "the success of {a} is passed on") {
    @Override
    public boolean isEnabled(ModelState s, ModelRules rules, int index, int unused) {
      int commit = index + 1;
      return s.get(Commit.STAGE, commit) == CONFIRMED
          && mayReport(s, rules, commit, s.get(Commit.INSTANCE, commit));
    }

    private boolean mayReport(ModelState s, ModelRules rules, int commit, int i) {
      boolean isRetired = s.get(Commit.RETIRED, commit) == 1;
      boolean haltsRetired = rules.keeps(Condition.HALT_RETIRED_WORK);
      Instance lease = isRetired && haltsRetired ? Instance.RETIRED_LEASE : Instance.LEASE;
      if (rules.keeps(Condition.NO_SUCCESS_WITHOUT_LEASE) && s.get(lease, i) == 0) {
        return false;
      }
      if (isRetired && (s.get(Instance.ROLE, i) == IDLE || !haltsRetired)) {
        return true;
      }
      if (rules.keeps(Condition.NO_SUCCESS_OF_EARLIER_TERM)
          && s.get(Commit.TERM, commit) != s.get(Instance.TERM, i)) {
        return false;
      }
      return s.get(Instance.HALT, i) < SUCCESSES || !rules.keeps(Condition.NO_SUCCESS_AFTER_CHOICE);
    }

    @Override
    public void apply(ModelState s, ModelRules rules, int index, int unused) {
      int commit = index + 1;
      int i = s.get(Commit.INSTANCE, commit);
      boolean isOfPresentPool =
          s.get(Commit.RETIRED, commit) == 0
              && s.get(Commit.TERM, commit) == s.get(Instance.TERM, i);
      if (isOfPresentPool || rules.keeps(Condition.HALT_RETIRED_WORK)) {
        s.raiseBound(i, commit);
        s.raiseAcknowledged(i, commit);
      }
      s.finish(commit, ACKNOWLEDGED);
    }
  };

  private final Range first;
  private final Range second;
  private final String text;

  GroupStep(Range first, Range second, String text) {
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
}

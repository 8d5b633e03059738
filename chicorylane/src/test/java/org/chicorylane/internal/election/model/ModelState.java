package org.chicorylane.internal.election.model;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;

/**
 * State of one database group, its record and the instances. Servers are numbered from 0, which is
 * the first primary; commits and terms are numbered from 1. Sets are bit masks.
 */
// Fields are stored at the places that their ordinals give.
@SuppressWarnings("EnumOrdinal")
final class ModelState {

  /** Number of servers: a primary and two replicas. */
  static final int SERVERS = 3;

  /** Maximum number of instances. */
  static final int MAX_INSTANCES = 3;

  /** Maximum number of commits. */
  static final int MAX_COMMITS = 3;

  /** Highest possible term. */
  static final int MAX_TERMS = 4;

  /** Value of a field that names no server or instance. */
  static final int NONE = -1;

  /** Fields of the group and its record. */
  enum Group {
    NEWEST_TERM,
    /** Record: number of the home's change. */
    EPOCH,
    /** Record: the home. */
    HOME,
    /** Record: the successor, or NONE. */
    SUCCESSOR,
    /** Record: the primary's term. */
    RECORD_TERM,
    /** Record: the server that is being promoted, or NONE. */
    PROMOTING,
    /** Record: set of the earlier homes. */
    PRIOR_HOMES,
    /** Target of an unanswered write of the record that may still be applied, or NONE. */
    LATE_PROMOTING,
    COMMITS,
    /** Epoch of the latest home that sent an order. */
    LAST_ORDER_EPOCH,
    /** Whether an order was sent that contradicts another instance's right. */
    ORDER_CONFLICT,
    INSTANCE_RESTARTS,
    REPLICA_RESTARTS,
    /** The server that crashed for good, or NONE. */
    LOST_SERVER,
    /** Whether the lost server has had no entry for so long that it counts as no member. */
    LOST_SERVER_FORGOTTEN
  }

  /** Fields of a server. */
  enum Server {
    /** The term that the server leads or follows. */
    TERM,
    /** Set of the commits in its log. */
    LOG,
    /** Whether it was stopped from receiving. */
    STOPPED,
    /** Rank among the orders that may still take effect, 0 if there is none for it. */
    ORDERED,
    /** Whether the server, which led its term, has stepped down and follows no later term yet. */
    STEPPED_DOWN
  }

  /** Fields of a commit. */
  enum Commit {
    TERM,
    /** One of the stage constants. */
    STAGE,
    /** The instance that waits for the answer. */
    INSTANCE,
    /** Whether it was sent by a pool that has been retired. */
    RETIRED
  }

  /** Stage of a commit that only the primary's log is known to hold. */
  static final int LOGGED = 1;

  /** Stage of a commit whose answer is under way to the instance. */
  static final int CONFIRMED = 2;

  /** Stage of a commit whose success was reported to the client. */
  static final int ACKNOWLEDGED = 3;

  /** Stage of a commit that was or will be reported as in doubt. */
  static final int IN_DOUBT = 4;

  /** Fields of an instance. */
  enum Instance {
    /** One of the role constants. */
    ROLE,
    LEASE,
    /** One of the phase constants of a home. */
    PHASE,
    /** One of the halt constants. */
    HALT,
    /** Term of the pool's primary; without a pool, the term in which it may stand in, or 0. */
    TERM,
    /** Whether the pool may have sent work to its primary. */
    SERVED,
    /** Whether the lease under which the retired pool worked is valid. */
    RETIRED_LEASE,
    /** Term of a retired pool whose work may still run, or 0. */
    RETIRED_TERM,
    /** The furthest commit that may be acknowledged as far as is known, or 0. */
    BOUND,
    /** The furthest commit that it acknowledged itself, or 0. */
    ACKNOWLEDGED,
    /** Whether no commit beyond the bound was acknowledged. */
    BOUND_KNOWN,
    /** Set of the instances that are known not to use the primary. */
    EXCLUDED,
    /** Position that the server reported in this attempt, plus 1; 0 if it has not answered. */
    ANSWER_0,
    ANSWER_1,
    ANSWER_2,
    /** The server that the home chose, or NONE. */
    TARGET,
    /** Epoch of the record under which it opened its pool, or may stand in. */
    EPOCH,
    /** Whether it may not stand in under the present record. */
    BARRED,
    /** Whether its process restarted, so that its earlier successes are unknown. */
    FORGOT
  }

  /** Role of an instance without a pool. */
  static final int IDLE = 0;

  /** Role of an instance that opened its pool as the home. */
  static final int IS_HOME = 1;

  /** Role of an instance that opened its pool as the successor. */
  static final int STANDS_IN = 2;

  /** Phase of a home that replaces no primary. */
  static final int STEADY = 0;

  /** Phase of a home that excludes others and stops replicas. */
  static final int CHANGING = 1;

  /** Phase of a home that chose a server and orders its promotion. */
  static final int PROMOTING = 2;

  /** Halt of new writes. */
  static final int NEW_WRITES = 1;

  /** Halt of successes, if the rule says so, from the choice on. */
  static final int SUCCESSES = 2;

  /** Halt of reads as well, from the order on. */
  static final int EVERYTHING = 3;

  private static final int GROUP_FIELDS = Group.values().length;
  private static final int SERVER_FIELDS = Server.values().length;
  private static final int COMMIT_FIELDS = Commit.values().length;
  private static final int INSTANCE_FIELDS = Instance.values().length;
  private static final int SERVERS_START = GROUP_FIELDS;
  private static final int COMMITS_START = SERVERS_START + SERVERS * SERVER_FIELDS;
  private static final int INSTANCES_START = COMMITS_START + MAX_COMMITS * COMMIT_FIELDS;
  private static final int LEADERS_START = INSTANCES_START + MAX_INSTANCES * INSTANCE_FIELDS;

  /** Number of bytes, a multiple of the size of a long value. */
  private static final int LENGTH =
      (LEADERS_START + MAX_TERMS + Long.BYTES - 1) / Long.BYTES * Long.BYTES;

  private static final VarHandle LONGS =
      MethodHandles.byteArrayViewVarHandle(long[].class, ByteOrder.nativeOrder());

  private final byte[] values;

  private ModelState(byte[] values) {
    this.values = values;
  }

  /**
   * Returns the state after instance 0 became the first home, with instance 1, if any, as
   * successor.
   */
  static ModelState initial(ModelRules rules) {
    ModelState s = new ModelState(new byte[LENGTH]);
    s.set(Group.NEWEST_TERM, 1);
    s.set(Group.EPOCH, 1);
    s.set(Group.SUCCESSOR, rules.bounds().instances() > 1 ? 1 : NONE);
    s.set(Group.RECORD_TERM, 1);
    s.set(Group.PROMOTING, NONE);
    s.set(Group.LATE_PROMOTING, NONE);
    s.set(Group.LOST_SERVER, NONE);
    for (int server = 0; server < SERVERS; server++) {
      s.set(Server.TERM, server, 1);
    }
    for (int i = 0; i < MAX_INSTANCES; i++) {
      s.set(Instance.TARGET, i, NONE);
    }
    for (int term = 2; term <= MAX_TERMS; term++) {
      s.setLeader(term, NONE);
    }
    s.set(Instance.ROLE, 0, IS_HOME);
    s.set(Instance.LEASE, 0, 1);
    s.set(Instance.TERM, 0, 1);
    s.set(Instance.SERVED, 0, 1);
    s.set(Instance.EPOCH, 0, 1);
    s.set(Instance.BOUND_KNOWN, 0, rules.keeps(Condition.LOSE_BOUND_WITH_UNKNOWN_HOLDER) ? 0 : 1);
    return s;
  }

  ModelState copy() {
    return new ModelState(values.clone());
  }

  int get(Group f) {
    return values[f.ordinal()];
  }

  int get(Server f, int server) {
    return values[SERVERS_START + server * SERVER_FIELDS + f.ordinal()];
  }

  int get(Commit f, int commit) {
    return values[COMMITS_START + (commit - 1) * COMMIT_FIELDS + f.ordinal()];
  }

  int get(Instance f, int instance) {
    return values[INSTANCES_START + instance * INSTANCE_FIELDS + f.ordinal()];
  }

  void set(Group f, int value) {
    values[f.ordinal()] = (byte) value;
  }

  void set(Server f, int server, int value) {
    values[SERVERS_START + server * SERVER_FIELDS + f.ordinal()] = (byte) value;
  }

  void set(Commit f, int commit, int value) {
    values[COMMITS_START + (commit - 1) * COMMIT_FIELDS + f.ordinal()] = (byte) value;
  }

  void set(Instance f, int instance, int value) {
    values[INSTANCES_START + instance * INSTANCE_FIELDS + f.ordinal()] = (byte) value;
  }

  /** Returns the position that a server reported to a home, or NONE. */
  int answer(int instance, int server) {
    return values[answerIndex(instance, server)] - 1;
  }

  void setAnswer(int instance, int server, int position) {
    values[answerIndex(instance, server)] = (byte) (position + 1);
  }

  private static int answerIndex(int instance, int server) {
    return INSTANCES_START + instance * INSTANCE_FIELDS + Instance.ANSWER_0.ordinal() + server;
  }

  int newestTerm() {
    return get(Group.NEWEST_TERM);
  }

  /** Returns the server that began a term. */
  int leader(int term) {
    return values[LEADERS_START + term - 1];
  }

  private void setLeader(int term, int server) {
    values[LEADERS_START + term - 1] = (byte) server;
  }

  void beginTerm(int server) {
    int term = newestTerm() + 1;
    set(Group.NEWEST_TERM, term);
    setLeader(term, server);
    set(Server.TERM, server, term);
    set(Server.STEPPED_DOWN, server, 0);
    for (int each = 0; each < SERVERS; each++) {
      set(Server.STOPPED, each, 0);
    }
  }

  int log(int server) {
    return get(Server.LOG, server);
  }

  /** Returns whether a server leads the term that it holds. */
  boolean isPrimary(int server) {
    return leader(get(Server.TERM, server)) == server && get(Server.STEPPED_DOWN, server) == 0;
  }

  /** Returns whether a server has not crashed for good. */
  boolean runs(int server) {
    return get(Group.LOST_SERVER) != server;
  }

  /** Returns the primary of an instance's pool. */
  int primaryOf(int instance) {
    return leader(get(Instance.TERM, instance));
  }

  /** Returns whether the primary of a term runs and still leads it. */
  boolean isLed(int term) {
    int primary = leader(term);
    return runs(primary) && get(Server.TERM, primary) == term && isPrimary(primary);
  }

  /** Returns whether the recorded home serves all work at the newest primary. */
  boolean isServed() {
    int home = get(Group.HOME);
    return isRecordedHome(home)
        && get(Instance.LEASE, home) == 1
        && get(Instance.PHASE, home) == STEADY
        && get(Instance.HALT, home) == 0
        && get(Instance.TERM, home) == newestTerm()
        && isLed(newestTerm());
  }

  /** Returns whether an instance may read at the primary of its pool. */
  boolean mayRead(int instance) {
    return get(Instance.ROLE, instance) != IDLE
        && get(Instance.LEASE, instance) == 1
        && get(Instance.HALT, instance) != EVERYTHING
        && isLed(get(Instance.TERM, instance));
  }

  int acknowledgedCommits() {
    int set = 0;
    for (int c = 1; c <= get(Group.COMMITS); c++) {
      if (get(Commit.STAGE, c) == ACKNOWLEDGED) {
        set |= bit(c);
      }
    }
    return set;
  }

  /** Returns whether commit {@code a} stands at or after commit {@code b} (0: before the first). */
  boolean covers(int a, int b) {
    if (a == 0 || b == 0) {
      return b == 0;
    }
    int termDifference = get(Commit.TERM, a) - get(Commit.TERM, b);
    return termDifference > 0 || (termDifference == 0 && a >= b);
  }

  /** Returns the last commit of a server's log, 0 if the log is empty. */
  int logEnd(int server) {
    int end = 0;
    for (int c = 1; c <= get(Group.COMMITS); c++) {
      if ((log(server) & bit(c)) != 0 && covers(c, end)) {
        end = c;
      }
    }
    return end;
  }

  /** Returns the first commit that a replica's log lacks of its primary's log, 0 if none. */
  int nextToReceive(int replica) {
    int missing = log(leader(get(Server.TERM, replica))) & ~log(replica);
    int first = 0;
    for (int c = 1; c <= get(Group.COMMITS); c++) {
      if ((missing & bit(c)) != 0 && (first == 0 || covers(first, c))) {
        first = c;
      }
    }
    return first;
  }

  void raiseBound(int instance, int commit) {
    if (covers(commit, get(Instance.BOUND, instance))) {
      set(Instance.BOUND, instance, commit);
    }
  }

  void raiseAcknowledged(int instance, int commit) {
    if (covers(commit, get(Instance.ACKNOWLEDGED, instance))) {
      set(Instance.ACKNOWLEDGED, instance, commit);
    }
  }

  boolean isRecordedHome(int instance) {
    return get(Group.HOME) == instance
        && get(Instance.ROLE, instance) == IS_HOME
        && get(Instance.EPOCH, instance) == get(Group.EPOCH);
  }

  /** Returns whether a server counts as a member of the group. */
  boolean isMember(int server) {
    return runs(server) || get(Group.LOST_SERVER_FORGOTTEN) == 0;
  }

  /** Returns the instances that a home must exclude before a promotion. */
  int instancesToExclude() {
    int successor = get(Group.SUCCESSOR);
    return get(Group.PRIOR_HOMES) | (successor == NONE ? 0 : bit(successor));
  }

  boolean hasExcludedAll(int home) {
    return (instancesToExclude() & ~get(Instance.EXCLUDED, home)) == 0;
  }

  /** Ends the role of an instance; its running work becomes that of a retired pool, or ends. */
  void closePool(int instance, boolean endsWork) {
    if (get(Instance.ROLE, instance) != IDLE && get(Instance.SERVED, instance) == 1) {
      set(Instance.RETIRED_TERM, instance, get(Instance.TERM, instance));
      set(Instance.RETIRED_LEASE, instance, get(Instance.LEASE, instance));
    }
    if (endsWork) {
      set(Instance.RETIRED_TERM, instance, 0);
      set(Instance.RETIRED_LEASE, instance, 0);
    }
    for (int c = 1; c <= get(Group.COMMITS); c++) {
      boolean isWaiting = get(Commit.STAGE, c) == LOGGED || get(Commit.STAGE, c) == CONFIRMED;
      if (isWaiting && get(Commit.INSTANCE, c) == instance) {
        set(Commit.RETIRED, c, 1);
        if (endsWork) {
          finish(c, IN_DOUBT);
        }
      }
    }
    set(Instance.ROLE, instance, IDLE);
    set(Instance.LEASE, instance, 0);
    set(Instance.PHASE, instance, STEADY);
    set(Instance.HALT, instance, 0);
    set(Instance.TERM, instance, 0);
    set(Instance.SERVED, instance, 0);
    set(Instance.EXCLUDED, instance, 0);
    set(Instance.BOUND_KNOWN, instance, 0);
    set(Instance.EPOCH, instance, 0);
    clearAttempt(instance);
  }

  /** Ends the work of an instance that was sent to primaries of earlier terms. */
  void endEarlierWork(int instance) {
    for (int c = 1; c <= get(Group.COMMITS); c++) {
      boolean isWaiting = get(Commit.STAGE, c) == LOGGED || get(Commit.STAGE, c) == CONFIRMED;
      boolean isEarlier = get(Commit.TERM, c) < newestTerm();
      if (isWaiting && isEarlier && get(Commit.INSTANCE, c) == instance) {
        finish(c, IN_DOUBT);
      }
    }
    set(Instance.RETIRED_TERM, instance, 0);
    set(Instance.RETIRED_LEASE, instance, 0);
  }

  void openPool(int instance, int role, int term) {
    set(Instance.ROLE, instance, role);
    set(Instance.TERM, instance, term);
    set(Instance.SERVED, instance, 1);
  }

  void clearAttempt(int instance) {
    set(Instance.TARGET, instance, NONE);
    for (int server = 0; server < SERVERS; server++) {
      setAnswer(instance, server, NONE);
    }
  }

  /** Drops what a home that has been replaced needs no more; it may still order its target. */
  void forgetAttempt(int replaced) {
    set(Instance.EXCLUDED, replaced, 0);
    set(Instance.BOUND_KNOWN, replaced, 0);
    for (int server = 0; server < SERVERS; server++) {
      setAnswer(replaced, server, NONE);
    }
  }

  /** Sets the last stage of a commit and drops what is no longer needed to know of it. */
  void finish(int commit, int stage) {
    set(Commit.STAGE, commit, stage);
    set(Commit.INSTANCE, commit, NONE);
    set(Commit.RETIRED, commit, 0);
  }

  /**
   * Applies what a new revision of the record entails: a barred successor may stand in again, and
   * an unanswered write fails.
   */
  void onRecordWritten() {
    set(Group.LATE_PROMOTING, NONE);
    for (int i = 0; i < MAX_INSTANCES; i++) {
      set(Instance.BARRED, i, 0);
    }
  }

  /** Writes the promotion of a server to the record, after the exclusion of all earlier homes. */
  void recordPromotion(int target) {
    set(Group.PROMOTING, target);
    clearPriorHomes();
    onRecordWritten();
  }

  void clearPriorHomes() {
    set(Group.PRIOR_HOMES, 0);
    for (int i = 0; i < MAX_INSTANCES; i++) {
      set(Instance.FORGOT, i, 0);
    }
  }

  /**
   * Returns this state with other numbers for its servers and instances.
   *
   * @param servers the new number by server
   * @param instances the new number by instance
   */
  ModelState renumbered(int[] servers, int[] instances) {
    ModelState s = copy();
    s.set(Group.HOME, renumber(get(Group.HOME), instances));
    s.set(Group.SUCCESSOR, renumber(get(Group.SUCCESSOR), instances));
    s.set(Group.PROMOTING, renumber(get(Group.PROMOTING), servers));
    s.set(Group.LATE_PROMOTING, renumber(get(Group.LATE_PROMOTING), servers));
    s.set(Group.LOST_SERVER, renumber(get(Group.LOST_SERVER), servers));
    s.set(Group.PRIOR_HOMES, renumberSet(get(Group.PRIOR_HOMES), instances));
    for (int c = 1; c <= get(Group.COMMITS); c++) {
      s.set(Commit.INSTANCE, c, renumber(get(Commit.INSTANCE, c), instances));
    }
    for (int term = 1; term <= newestTerm(); term++) {
      s.setLeader(term, renumber(leader(term), servers));
    }
    for (int server = 0; server < SERVERS; server++) {
      int from = SERVERS_START + server * SERVER_FIELDS;
      int to = SERVERS_START + servers[server] * SERVER_FIELDS;
      System.arraycopy(values, from, s.values, to, SERVER_FIELDS);
    }
    for (int i = 0; i < MAX_INSTANCES; i++) {
      int from = INSTANCES_START + i * INSTANCE_FIELDS;
      int to = INSTANCES_START + instances[i] * INSTANCE_FIELDS;
      System.arraycopy(values, from, s.values, to, INSTANCE_FIELDS);
      s.set(Instance.TARGET, instances[i], renumber(get(Instance.TARGET, i), servers));
      s.set(Instance.EXCLUDED, instances[i], renumberSet(get(Instance.EXCLUDED, i), instances));
      for (int server = 0; server < SERVERS; server++) {
        s.setAnswer(instances[i], servers[server], answer(i, server));
      }
    }
    return s;
  }

  private static int renumber(int number, int[] numbers) {
    return number == NONE ? NONE : numbers[number];
  }

  private static int renumberSet(int set, int[] numbers) {
    int result = 0;
    for (int n = 0; n < numbers.length; n++) {
      result |= (set & bit(n)) == 0 ? 0 : bit(numbers[n]);
    }
    return result;
  }

  /** Returns a hash of all fields. */
  long fingerprint() {
    long h = 0x9e3779b97f4a7c15L;
    for (int index = 0; index < LENGTH; index += Long.BYTES) {
      h = (h ^ (long) LONGS.get(values, index)) * 0xff51afd7ed558ccdL;
      h ^= h >>> 32;
    }
    return h;
  }

  static int bit(int n) {
    return 1 << n;
  }
}

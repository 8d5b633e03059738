package org.chicorylane.internal.election;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.ToIntFunction;
import org.chicorylane.internal.account.AccountGate;
import org.chicorylane.internal.account.ClientAccounts;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerStatus;
import org.chicorylane.internal.passthrough.TransactionState;
import org.chicorylane.internal.platform.ConditionalWriteResult;
import org.chicorylane.internal.platform.ConditionalWriter;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.platform.RestorableStore;
import org.chicorylane.internal.platform.StoreEra;
import org.chicorylane.internal.pool.GroupPool;
import org.chicorylane.internal.pool.PoolListener;
import org.chicorylane.internal.pool.PoolMetrics;
import org.chicorylane.internal.pool.PrimaryHalt;
import org.chicorylane.internal.pool.ServerLoss;
import org.chicorylane.internal.pool.StatementQuota;
import org.chicorylane.internal.pool.Work;
import org.chicorylane.internal.pool.WorkHandler;
import org.chicorylane.internal.pool.WorkKind;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.AttentionClock;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.runtime.UniqueIds;
import org.chicorylane.internal.topology.BackendServer;
import org.chicorylane.internal.topology.DrainLimit;
import org.chicorylane.internal.topology.GroupDeclaration;
import org.chicorylane.internal.topology.PeerInstance;
import org.jspecify.annotations.Nullable;

/**
 * One instance's part in the election of a database group's home. Tracks the elected home and
 * claims the role when the home is lost. While the instance is the home, owns the connection pool
 * and replaces lost primaries.
 *
 * <p>The home holds a lease: it may work while its last confirmed read or write of the record was
 * sent less than {@link ElectionTimings#validity} ago. A later home may use the same primary
 * immediately, but promotes another server only when each earlier home has stopped or the validity
 * has passed since the later home's own compare-and-swap.
 *
 * <p>Confined to the instance's thread.
 */
public final class HomeElection {

  /**
   * The collaborators that the elections of all groups of an instance share.
   *
   * @param storeUnavailable returns whether this instance's last call to the store failed
   * @param drainLimit tells for how long a draining server may be sent new work
   * @param attention tells whether this instance is too slow to judge others or to take groups
   * @param gate decides which client accounts' work may run
   * @param quota limits what the homes send to servers
   */
  public record Context(
      HomeRecord.Holder self,
      RestorableStore store,
      BooleanSupplier storeUnavailable,
      DrainLimit drainLimit,
      ConditionalWriter swaps,
      ServerConnector connector,
      Promoter promoter,
      PeerClient peerClient,
      Scheduler scheduler,
      AttentionClock attention,
      DecisionLog log,
      ElectionTimings timings,
      HomeCounter homeCounter,
      HomeBalancer balancer,
      UniqueIds ids,
      PoolMetrics metrics,
      AccountGate gate,
      StatementQuota quota) {}

  /** Counts the groups of which each instance is the home. */
  public interface HomeCounter {
    /**
     * Returns the numbers of groups other than {@code exceptGroup} by the name of their home.
     * Instances that are the home of none are left out.
     */
    Map<String, Integer> countHomes(String exceptGroup);
  }

  /** How long open transactions may continue at an instance that is no longer the home. */
  private static final Duration RETIREMENT_TIMEOUT = Duration.ofSeconds(3);

  /** Delay before the next attempt to replace a lost home. */
  private static final Duration REPLACE_RETRY_DELAY = Duration.ofMillis(300);

  /** Answer for a transaction whose connection was closed when the home changed. */
  private static final Answer TRANSACTION_ABORTED =
      Answer.failure(FailureCode.ABORTED, "the home of the group changed", TransactionState.FAILED);

  private final String group;
  private final Context context;
  private final Runnable onHomeChanged;
  private final HomeHandover handover;
  private @Nullable HomeRecord record;
  private long revision;

  /**
   * The last record from before the store was restored, until the stored record includes it; null
   * if the store was not restored since.
   */
  private @Nullable HomeRecord recordBeforeRestore;

  private long lastRewriteNanos;

  /** Start of the wait for leases of earlier eras, if later than the first sight of the era. */
  private long eraWaitStartNanos;

  /** Whether the stored record has been read, or the store has been found to have none. */
  private boolean recordKnown;

  private boolean claimInProgress;
  private boolean leaving;

  /** Time at which the last read or write that renewed the lease was sent. */
  private long confirmedNanos;

  private @Nullable GroupPool pool;
  private @Nullable PrimarySupervisor supervisor;
  private final List<GroupPool> retiringPools = new ArrayList<>();
  private LogPosition acknowledgedByStoppedPools = LogPosition.ZERO;
  private LogPosition leastAcknowledgedByStoppedPools = LogPosition.ZERO;
  private final GroupMembers members = new GroupMembers();
  private List<BackendServer> servers = List.of();
  private @Nullable GroupDeclaration declaration;
  private @Nullable ClientAccounts accounts;
  private Duration transactionIdleLimit = Duration.ofSeconds(30);

  /** Time at which the home was found lost; 0 if it is not lost. */
  private long lostSinceNanos;

  /** Time at which the group was first seen without a record; 0 before that. */
  private long noHomeSinceNanos;

  /** Whether this instance was the home and has not confirmed to a later home that it stopped. */
  private boolean owesStopConfirmation;

  /** This instance does not stand in under a record up to this revision. */
  private long barredUpToRevision = -1;

  /**
   * Creates the election of a group's home.
   *
   * @param onHomeChanged called when the home changes or this instance starts or stops serving
   */
  public HomeElection(String group, Context context, Runnable onHomeChanged) {
    this.group = group;
    this.context = context;
    this.onHomeChanged = onHomeChanged;
    this.eraWaitStartNanos = context.store().eraSeenNanos();
    this.handover = new HomeHandover(this, context);
  }

  /** Returns the last record that was read or written, null if there is none yet. */
  public @Nullable HomeRecord record() {
    return record;
  }

  /** Returns the pool, null if this instance neither is the home nor stands in for it. */
  public @Nullable GroupPool pool() {
    return pool;
  }

  /** Returns whether this instance serves the group, as the home or standing in for it. */
  public boolean isHome() {
    return pool != null;
  }

  /**
   * Returns whether this instance is the recorded home, its lease is valid, and no earlier home can
   * still run statements.
   */
  public boolean isOnlyHome() {
    PrimarySupervisor s = supervisor;
    return s != null && mayWork(now()) && s.havePriorHomesStopped();
  }

  /** Runs work that arrived over {@code owner}, or reports that this instance is not the home. */
  public void submit(Object owner, Work work, WorkHandler handler) {
    GroupPool p = pool;
    if (!work.inTransaction() || work.begins()) {
      if (p == null) {
        handler.onNotHome();
      } else {
        submit(p, owner, work, handler);
      }
      return;
    }
    for (GroupPool each : pools()) {
      if (each.hasTransaction(owner, work.transaction())) {
        submit(each, owner, work, handler);
        return;
      }
    }
    handler.onAnswer(TRANSACTION_ABORTED);
  }

  /** Runs work in {@code target} if its access is granted; otherwise ends its transaction. */
  private void submit(GroupPool target, Object owner, Work work, WorkHandler handler) {
    AccountGate.Verdict verdict = context.gate().check(work.access(), work.requestId());
    boolean continues = work.inTransaction() && !work.begins();
    if (verdict == AccountGate.Verdict.GRANTED) {
      target.submit(owner, work, handler);
    } else if (verdict == AccountGate.Verdict.STARTING && !continues) {
      handler.onNotHome();
    } else if (continues) {
      target.abandon(owner, work.transaction());
      boolean isWithdrawn = verdict == AccountGate.Verdict.WITHDRAWN;
      handler.onAnswer(
          Answer.failure(
              isWithdrawn ? verdict.code() : FailureCode.ABORTED,
              verdict.text(),
              work.kind() == WorkKind.COMMIT ? TransactionState.IDLE : TransactionState.FAILED));
    } else {
      handler.onAnswer(
          Answer.failure(
              verdict.code(),
              verdict.text(),
              work.begins() ? TransactionState.FAILED : TransactionState.IDLE));
    }
  }

  /** Rolls back a transaction that arrived over {@code owner}. */
  public void abandon(Object owner, long transaction) {
    pools().forEach(p -> p.abandon(owner, transaction));
  }

  /** Drops a single statement whose client has left, unless it was sent to a server. */
  public void drop(WorkHandler handler) {
    pools().forEach(p -> p.drop(handler));
  }

  /** Rolls back all transactions that arrived over {@code owner}. */
  public void abandonAll(Object owner) {
    pools().forEach(p -> p.abandonAll(owner));
  }

  /** Returns whether no client work is running here, and no promotion call waits for its answer. */
  public boolean isIdle() {
    return !isPromotionUnanswered() && pools().stream().allMatch(GroupPool::isIdle);
  }

  /**
   * Returns whether another instance can replace the primary without waiting for this one's lease:
   * it was never the home, or has confirmed to a later home that it stopped.
   */
  public boolean isReleased() {
    return !owesStopConfirmation;
  }

  private List<GroupPool> pools() {
    List<GroupPool> all = new ArrayList<>(retiringPools);
    if (pool != null) {
      all.add(pool);
    }
    return all;
  }

  /** Returns the group's name. */
  public String group() {
    return group;
  }

  /** Sets the client accounts that the configuration declares, null if it declares none. */
  public void setAccounts(@Nullable ClientAccounts declared) {
    accounts = declared;
    if (pool != null) {
      pool.setAccounts(declared);
    }
  }

  /** Updates the group's declaration, the transactions' idle limit and the registered servers. */
  public void updateDeclaration(
      GroupDeclaration declared, Duration idleLimit, List<BackendServer> presentServers) {
    declaration = declared;
    transactionIdleLimit = idleLimit;
    servers = presentServers;
    members.update(presentServers, waitNow());
    if (pool != null) {
      pool.configure(declared.maximumConnections(), idleLimit);
      pool.setServers(presentServers);
    }
  }

  /** Applies the record as stored; {@code entry} is null if the store has no record. */
  public void onRecord(@Nullable KeyValueEntry entry) {
    recordKnown = true;
    if (entry == null) {
      onRecordMissing();
      return;
    }
    if (entry.modRevision() <= revision) {
      return;
    }
    Optional<HomeRecord> decoded =
        HomeRecord.decode(
            entry,
            problem ->
                log("record-unreadable")
                    .with("revision", entry.modRevision())
                    .with("problem", problem)
                    .write());
    if (decoded.isEmpty()) {
      return;
    }
    HomeRecord before = record;
    adopt(completed(decoded.get()), entry.modRevision());
    if (before == null || !before.home().equals(decoded.get().home())) {
      lostSinceNanos = 0;
      log("home")
          .with("home", decoded.get().home().name())
          .with("epoch", decoded.get().epoch())
          .with("revision", entry.modRevision())
          .write();
      if (isHome() && !decoded.get().home().equals(context.self())) {
        retirePool("another instance is the home");
      }
      onHomeChanged.run();
    } else if (isStandingIn() && !hasSamePrimary(before, decoded.get())) {
      retirePool("the home changes the primary");
    }
  }

  private static boolean hasSamePrimary(HomeRecord a, HomeRecord b) {
    return a.term() == b.term()
        && Objects.equals(a.primaryId(), b.primaryId())
        && Objects.equals(a.promoting(), b.promoting());
  }

  /**
   * Keeps the record if the store was restored from a copy without it, so that the next write
   * creates it again.
   */
  private void onRecordMissing() {
    long era = context.store().era();
    if (record != null && StoreEra.of(revision) < era) {
      revision = StoreEra.qualify(era, 0);
      log("record-missing").with("era", era).write();
    }
  }

  /**
   * Returns a record that was read, completed by what this instance knows from before the store was
   * restored.
   */
  private HomeRecord completed(HomeRecord stored) {
    if (stored.home().equals(context.self()) && !areEarlierErasOver()) {
      // A write of an earlier era may have taken effect late and replaced another home.
      eraWaitStartNanos = waitNow();
    }
    HomeRecord known = recordBeforeRestore;
    if (known == null) {
      return stored;
    }
    HomeRecord completed = stored.completedBy(known);
    if (completed.equals(stored)) {
      recordBeforeRestore = null;
    }
    return completed;
  }

  /**
   * Notifies the election that the store was restored from a copy: later changes of the record may
   * be gone, and instances that it does not name may hold leases. This instance's own lease keeps
   * its end, because other instances wait for it before a promotion.
   */
  public void onStoreRestored() {
    eraWaitStartNanos = waitNow();
    if (record != null) {
      recordBeforeRestore = record;
    }
  }

  /**
   * Returns whether every lease from before the last restore of the store has ended. The restored
   * record does not name all instances that held one.
   */
  boolean areEarlierErasOver() {
    long era = context.store().era();
    HomeRecord r = record;
    if (era == 0 || (r != null && r.settledEra() == era)) {
      return true;
    }
    long seen = Math.max(context.store().eraSeenNanos(), eraWaitStartNanos);
    return waitNow() - seen > context.timings().validity().toNanos();
  }

  /**
   * Writes the record again if the stored one is missing, lacks what is known from before the store
   * was restored, or does not tell that earlier eras are over.
   */
  private void rewriteIfOutdated(HomeRecord r) {
    long era = context.store().era();
    boolean isHomeHere = supervisor != null && r.home().equals(context.self());
    boolean missing = StoreEra.revisionOf(revision) == 0;
    boolean unsettled = r.settledEra() != era && areEarlierErasOver();
    boolean due = (isHomeHere && (missing || unsettled)) || completesRecord(isHomeHere);
    if (!due
        || StoreEra.of(revision) != era
        || claimInProgress
        || now() - lastRewriteNanos < context.timings().confirmInterval().toNanos()) {
      return;
    }
    lastRewriteNanos = now();
    log("record-rewriting").with("era", era).with("missing", missing).write();
    write(r.rewritten(r.settledEra(), context.ids().next()), applied -> {}, () -> {});
  }

  /**
   * Returns whether this instance completes the stored record: the home or the one before the
   * restore at once, other instances one after the other, in case both are lost.
   */
  private boolean completesRecord(boolean isHomeHere) {
    HomeRecord known = recordBeforeRestore;
    if (known == null) {
      return false;
    }
    Duration delay = context.timings().confirmInterval().multipliedBy(1 + rankOfSelf(""));
    return isHomeHere
        || known.home().equals(context.self())
        || waitNow() - eraWaitStartNanos > delay.toNanos();
  }

  /**
   * Applies the result of a linearizable read that was sent at {@code sentNanos}. The lease is
   * renewed if the read shows the latest known revision and this instance is its home or successor.
   */
  public void onConfirmation(@Nullable KeyValueEntry entry, long sentNanos) {
    onRecord(entry);
    if (entry != null
        && entry.modRevision() == revision
        && record != null
        && (record.home().equals(context.self()) || isSuccessor())) {
      confirmedNanos = Math.max(confirmedNanos, sentNanos);
    }
  }

  /**
   * Starts the replacement of the home, which cannot be reached. Instances wait in the order of
   * their rank, so that the best candidate acts first.
   *
   * @param refused whether its address refused the connection, for which others are not asked
   */
  public void onHomeLost(boolean refused) {
    HomeRecord r = record;
    if (r == null || isHome() || leaving || lostSinceNanos != 0) {
      return;
    }
    lostSinceNanos = now();
    HomeRecord.Holder lost = r.home();
    log("home-lost").with("home", lost.name()).with("refused", refused).write();
    Duration delay = context.timings().rankDelay().multipliedBy(rankOfSelf(lost.name()));
    context.scheduler().schedule(delay, () -> replaceIfLost(lost, refused));
  }

  /** Cancels the replacement of the home, because the home responds. */
  public void onHomeResponded() {
    lostSinceNanos = 0;
    if (isStandingIn()) {
      retirePool("the home answers again");
    }
  }

  /** Returns whether this instance considers the home unreachable. */
  public boolean isHomeLost() {
    return lostSinceNanos != 0;
  }

  /** Returns whether this instance may serve in place of the home while the home is lost. */
  public boolean isSuccessor() {
    HomeRecord r = record;
    return r != null && context.self().equals(r.successor());
  }

  private boolean isStandingIn() {
    HomeRecord r = record;
    return isHome() && r != null && !r.home().equals(context.self());
  }

  /** Serves on the recorded primary while the home is lost; never promotes a server. */
  private void startStandingIn() {
    HomeRecord r = record;
    if (isHome() || leaving || r == null || !isSuccessor() || revision <= barredUpToRevision) {
      return;
    }
    if (r.promoting() == null && r.primaryId() != null && mayWork(now())) {
      log("standing-in").with("home", r.home().name()).with("revision", revision).write();
      openPool();
      onHomeChanged.run();
    }
  }

  /**
   * Stops this instance's work on the group at the request of a later home. Afterwards this
   * instance does not stand in under a record up to {@code atRevision}. It does not stop if it
   * became the home after that revision, or while work that may finish is still running.
   *
   * @param incarnation id of the process start that is asked to stop; if this process is another
   *     one, there is nothing to stop
   * @param immediately whether running statements and transactions are ended instead of finished
   */
  public PeerClient.StopReply stopWork(String incarnation, long atRevision, boolean immediately) {
    boolean becameHomeLater =
        revision > atRevision && record != null && record.home().equals(context.self());
    if (becameHomeLater) {
      log("stop-refused").with("asked_at", atRevision).with("revision", revision).write();
      return new PeerClient.StopReply(false, null);
    }
    if (!incarnation.equals(context.self().incarnation())) {
      return new PeerClient.StopReply(true, null);
    }
    barredUpToRevision = Math.max(barredUpToRevision, Math.max(revision, atRevision));
    retirePool("the home asked to stop");
    if (!immediately && !isIdle()) {
      return new PeerClient.StopReply(false, null);
    }
    List.copyOf(retiringPools).forEach(this::stopRetiredPool);
    owesStopConfirmation = false;
    return new PeerClient.StopReply(true, acknowledged());
  }

  /** Returns the highest position that this instance has acknowledged in the group. */
  LogPosition acknowledged() {
    LogPosition highest = acknowledgedByStoppedPools;
    for (GroupPool p : pools()) {
      highest = highest.max(p.acknowledged());
    }
    return highest;
  }

  /**
   * Returns a position that a commit which this instance acknowledged surely reached; {@link
   * LogPosition#ZERO} if no replica has to confirm commits, as a promotion may lose them then.
   */
  LogPosition leastAcknowledged() {
    if (confirmingReplicas() == 0) {
      return LogPosition.ZERO;
    }
    LogPosition least = leastAcknowledgedByStoppedPools;
    for (GroupPool p : pools()) {
      least = least.max(p.leastAcknowledged());
    }
    return least;
  }

  /** Holds back work from the primary in all pools, also in those that are closing. */
  void haltPrimary(PrimaryHalt halt) {
    pools().forEach(p -> p.setPrimaryHalt(halt));
  }

  /**
   * Claims the home's role at the request of the current home. Declines while the store does not
   * answer this instance: a claim that the store applied only after an outage would replace a home
   * that can then continue. Declines also while this instance is stalling.
   *
   * @param outcome called with whether this instance is the home now
   */
  public void takeOver(Consumer<Boolean> outcome) {
    if ((isHome() && !isStandingIn())
        || leaving
        || claimInProgress
        || context.attention().isStalling()
        || context.storeUnavailable().getAsBoolean()) {
      outcome.accept(isHome() && !isStandingIn());
      return;
    }
    claimHome("asked by the home", outcome);
  }

  /** Hands the group over because this instance shuts down. */
  public void leave() {
    leaving = true;
    if (isStandingIn()) {
      retirePool("this instance leaves");
    }
    handover.leave();
  }

  /** Returns whether this instance is shutting down. */
  boolean isLeaving() {
    return leaving;
  }

  /** Runs the periodic checks; called at short intervals. */
  public void tick() {
    if (!recordKnown || declaration == null || leaving) {
      return;
    }
    HomeRecord r = record;
    if (r == null) {
      if (servers.isEmpty()) {
        return;
      }
      noHomeSinceNanos = noHomeSinceNanos == 0 ? now() : noHomeSinceNanos;
      long waited = now() - noHomeSinceNanos;
      if (waited > context.timings().rankDelay().toNanos() * (2 + 2L * rankOfSelf(""))) {
        claimHome("no home yet");
      }
      return;
    }
    boolean isRecordedHome = r.home().name().equals(context.self().name());
    if (isRecordedHome && !isHome()) {
      claimHome("was the home before it stopped or restarted");
    }
    rewriteIfOutdated(r);
    PrimarySupervisor currentSupervisor = supervisor;
    if (currentSupervisor != null) {
      currentSupervisor.tick();
    }
    GroupPool p = pool;
    if (supervisor != null && p != null) {
      handover.tick(p, supervisor, now() - confirmedNanos);
    }
  }

  /**
   * Replaces the record by compare-and-swap at the current revision. A success renews the lease.
   *
   * @param onApplied called with the new revision
   * @param onFailed called if the write failed, after a conflicting record was applied
   */
  void write(HomeRecord proposed, LongConsumer onApplied, Runnable onFailed) {
    long sent = now();
    HomeRecord next =
        proposed.rewritten(areEarlierErasOver() ? context.store().era() : 0, proposed.writer());
    long expectedRevision = StoreEra.revisionOf(revision) == 0 ? 0 : revision;
    context
        .swaps()
        .swap(HomeRecord.keyOf(group), expectedRevision, next.encode(), next.writer())
        .thenAccept(
            result -> {
              if (result instanceof ConditionalWriteResult.Applied applied) {
                if (applied.revision() >= revision) {
                  adopt(next, applied.revision());
                  recordBeforeRestore = null;
                }
                confirmedNanos = Math.max(confirmedNanos, sent);
                onApplied.accept(applied.revision());
              } else {
                log("record-not-written").with("result", result).write();
                if (result instanceof ConditionalWriteResult.Conflict conflict) {
                  conflict.current().forEach(this::onRecord);
                }
                onFailed.run();
              }
            });
  }

  /** Returns whether this home's lease is valid at {@code nanos}. */
  boolean mayWork(long nanos) {
    return nanos - confirmedNanos < context.timings().validity().toNanos();
  }

  /**
   * Returns whether the store confirmed the record recently, so that a write of it is likely to
   * succeed.
   */
  boolean isRecentlyConfirmed() {
    return now() - confirmedNanos < 2 * context.timings().confirmInterval().toNanos();
  }

  /** Returns whether a promotion that was ordered here may still be on its way. */
  boolean isPromotionUnanswered() {
    PrimarySupervisor s = supervisor;
    return s != null && s.isPromotionUnanswered();
  }

  /** Returns how many replicas must confirm a commit of the primary. */
  int confirmingReplicas() {
    return declaration == null ? 0 : declaration.confirmingReplicas();
  }

  /** Returns the record's revision. */
  long revision() {
    return revision;
  }

  /** Returns the group's servers. */
  List<BackendServer> servers() {
    return servers;
  }

  /** Returns the servers that may have confirmed commits, with or without an entry. */
  GroupMembers members() {
    return members;
  }

  /** Returns the candidates for home other than the instance {@code except}, best first. */
  List<PeerInstance> candidates(String except) {
    return Candidates.rank(
        group,
        context.peerClient().instances().stream().filter(p -> !p.name().equals(except)).toList(),
        otherHomes());
  }

  /** Returns the number of groups other than this one by the name of their home. */
  ToIntFunction<String> otherHomes() {
    Map<String, Integer> homes = context.homeCounter().countHomes(group);
    return name -> homes.getOrDefault(name, 0);
  }

  /** Starts a log line about the group. */
  DecisionLog.Line log(String event) {
    return context.log().event(DecisionLog.Priority.BELIEF, event).with("group", group);
  }

  private void adopt(HomeRecord next, long newRevision) {
    record = next;
    revision = newRevision;
  }

  /** Returns this instance's rank among the candidates other than {@code lost}, 0 for the best. */
  private int rankOfSelf(String lost) {
    List<PeerInstance> order = candidates(lost);
    for (int i = 0; i < order.size(); i++) {
      if (order.get(i).name().equals(context.self().name())) {
        return i;
      }
    }
    return order.size();
  }

  private void replaceIfLost(HomeRecord.Holder lost, boolean refused) {
    HomeRecord r = record;
    if (r == null || !r.home().equals(lost) || lostSinceNanos == 0 || leaving || isHome()) {
      return;
    }
    if (refused) {
      // If the home runs behind a partition, both homes use the same primary until its lease ends.
      replaceLostHome("the home's address refuses connections");
      return;
    }
    if (context.attention().isStalling()) {
      // Others can tell better whether the home is silent, and serve the group better.
      lostSinceNanos = 0;
      return;
    }
    List<PeerInstance> others =
        candidates(lost.name()).stream()
            .filter(p -> !p.name().equals(context.self().name()))
            .limit(3)
            .toList();
    if (others.isEmpty()) {
      replaceLostHome("the home does not answer and there is no other instance");
      return;
    }
    Poll.ask(
        others,
        (peer, reply) -> context.peerClient().probeHome(peer, group, reply),
        (answeredYes, answeredNoCount) -> {
          HomeRecord current = record;
          boolean replaced = current != null && !current.home().equals(lost);
          if (replaced) {
            return;
          }
          if (answeredYes == null && answeredNoCount > 0) {
            replaceLostHome(
                "the home answers neither this instance nor " + answeredNoCount + " others");
          } else {
            lostSinceNanos = 0;
          }
        });
  }

  private void replaceLostHome(String reason) {
    startStandingIn();
    claimHome(reason);
  }

  /** Schedules another attempt to replace the lost home, after the record could not be written. */
  private void scheduleReplacement() {
    HomeRecord r = record;
    if (r != null && lostSinceNanos != 0) {
      HomeRecord.Holder lost = r.home();
      context
          .scheduler()
          .schedule(
              REPLACE_RETRY_DELAY,
              () -> {
                if (record != null && record.home().equals(lost) && lostSinceNanos != 0) {
                  replaceLostHome("the home is still lost");
                }
              });
    }
  }

  private HomeRecord.@Nullable Holder chooseSuccessor(@Nullable HomeRecord r) {
    String lost = r == null ? "" : r.home().name();
    return candidates(context.self().name()).stream()
        .filter(p -> !p.name().equals(lost))
        .findFirst()
        .map(p -> new HomeRecord.Holder(p.name(), p.incarnation(), p.address()))
        .orElse(null);
  }

  private void claimHome(String reason) {
    if (!claimInProgress && (!isHome() || isStandingIn())) {
      claimHome(reason, taken -> {});
    }
  }

  private void claimHome(String reason, Consumer<Boolean> outcome) {
    claimInProgress = true;
    HomeRecord r = record;
    HomeRecord.Holder successor = chooseSuccessor(r);
    String writer = context.ids().next();
    HomeRecord next =
        r == null
            ? HomeRecord.first(context.self(), successor, writer)
            : r.withHome(context.self(), successor, writer);
    log("home-taking").with("reason", reason).with("revision", revision).write();
    long before = revision;
    write(
        next,
        applied -> {
          claimInProgress = false;
          if (applied == revision) {
            startAsHome();
          }
          outcome.accept(isHome());
        },
        () -> {
          claimInProgress = false;
          scheduleReplacement();
          if (revision == before) {
            readRecord();
          }
          outcome.accept(false);
        });
  }

  private void readRecord() {
    long sent = now();
    context
        .store()
        .get(HomeRecord.keyOf(group))
        .thenAccept(
            result -> {
              if (result instanceof ReadResult.Read read) {
                onConfirmation(read.first().orElse(null), sent);
              }
            });
  }

  private void startAsHome() {
    lostSinceNanos = 0;
    owesStopConfirmation = true;
    handover.onHomeBegun(now());
    GroupPool p = pool == null ? openPool() : pool;
    HomeRecord r = record;
    if (r != null) {
      members.add(r.members(), waitNow());
    }
    PrimarySupervisor started = new PrimarySupervisor(this, context, p, now());
    supervisor = started;
    logHomeBegun(r);
    started.start();
    onHomeChanged.run();
  }

  private void logHomeBegun(@Nullable HomeRecord r) {
    DecisionLog.Line line = log("home-begun");
    if (r != null) {
      line.with("epoch", r.epoch())
          .with("primary", r.primaryId())
          .with("term", r.term())
          .with("promoting", r.promoting())
          .with("prior_homes", r.priorHomes().size());
    }
    line.with("revision", revision).write();
  }

  private GroupPool openPool() {
    Listener listener = new Listener();
    GroupPool p =
        new GroupPool(
            group,
            context.connector(),
            context.scheduler(),
            context.attention(),
            context.log(),
            this::mayWork,
            context.drainLimit(),
            context.quota(),
            context.metrics(),
            listener);
    pool = p;
    p.setAccounts(accounts);
    GroupDeclaration d = declaration;
    if (d != null) {
      p.configure(d.maximumConnections(), transactionIdleLimit);
    }
    HomeRecord r = record;
    if (r != null && r.primaryId() != null) {
      p.setPrimary(r.primaryId(), r.term());
    }
    p.setServers(servers);
    return p;
  }

  /** Stops taking new work here; what runs may finish. */
  void retirePool(String reason) {
    GroupPool p = pool;
    if (p != null) {
      pool = null;
      if (supervisor != null) {
        supervisor.stop();
        supervisor = null;
      }
      log("home-ended")
          .with("reason", reason)
          .with("revision", revision)
          .with("acknowledged", p.acknowledged())
          .write();
      retiringPools.add(p);
      p.retire();
      context.scheduler().schedule(RETIREMENT_TIMEOUT, () -> stopRetiredPool(p));
      onHomeChanged.run();
    }
  }

  private void stopRetiredPool(GroupPool old) {
    if (retiringPools.remove(old)) {
      acknowledgedByStoppedPools = acknowledgedByStoppedPools.max(old.acknowledged());
      leastAcknowledgedByStoppedPools =
          leastAcknowledgedByStoppedPools.max(old.leastAcknowledged());
      old.stop();
    }
  }

  private long now() {
    return context.scheduler().nanoTime();
  }

  /** Returns the time by which the end of what others hold is waited for. */
  private long waitNow() {
    return context.scheduler().waitNanoTime();
  }

  /** Forwards the pool's events to the primary's supervisor, if there is one. */
  private final class Listener implements PoolListener {
    @Override
    public void onServerLost(String serverId, ServerLoss loss) {
      if (supervisor != null) {
        supervisor.onServerLost(serverId, loss);
      }
    }

    @Override
    public void onServerUnresponsive(String serverId) {
      if (supervisor != null) {
        supervisor.onServerUnresponsive(serverId);
      }
    }

    @Override
    public void onServerStatus(String serverId, ServerStatus status, long askedNanos) {
      if (supervisor != null) {
        supervisor.onServerStatus(serverId, status, askedNanos);
      }
    }

    @Override
    public void onPrimaryRoleRefused(String serverId) {
      if (supervisor != null) {
        supervisor.onPrimaryRoleRefused(serverId);
      }
    }
  }
}

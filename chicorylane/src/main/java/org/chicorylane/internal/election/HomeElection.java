package org.chicorylane.internal.election;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerStatus;
import org.chicorylane.internal.passthrough.TransactionState;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.platform.SettledResult;
import org.chicorylane.internal.platform.SettledSwap;
import org.chicorylane.internal.pool.GroupPool;
import org.chicorylane.internal.pool.PoolListener;
import org.chicorylane.internal.pool.PoolMetrics;
import org.chicorylane.internal.pool.ServerLoss;
import org.chicorylane.internal.pool.Work;
import org.chicorylane.internal.pool.WorkHandler;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.runtime.UniqueIds;
import org.chicorylane.internal.topology.BackendServer;
import org.chicorylane.internal.topology.GroupDeclaration;
import org.chicorylane.internal.topology.PeerInstance;
import org.jspecify.annotations.Nullable;

/**
 * One instance's part in one database group: knows who is the home, becomes it when the home is
 * lost, and as the home keeps the pool and replaces lost primaries.
 *
 * <p>A home may work while its last confirmation of the record was sent less than {@link
 * ElectionTimings#validity} ago. A later home may use the same primary at once, but promotes
 * another only when each earlier home has stopped, or the validity has passed since its own swap.
 *
 * <p>Confined to the instance's thread.
 */
public final class HomeElection {

  /** The collaborators of all groups of an instance. */
  public record Context(
      HomeRecord.Holder self,
      KeyValueStore store,
      SettledSwap swaps,
      ServerConnector connector,
      Promoter promoter,
      PeerClient peerClient,
      Scheduler scheduler,
      DecisionLog log,
      ElectionTimings timings,
      HomeCount homeCount,
      HomeBalancer balance,
      UniqueIds ids,
      PoolMetrics metrics) {}

  /** Counts the homes of an instance. */
  public interface HomeCount {
    /** Returns of how many groups, without {@code exceptGroup}, the instance is the home. */
    int homesOf(String instance, String exceptGroup);
  }

  /** How long transactions may go on at an instance that is no longer the home. */
  private static final Duration RETIREMENT = Duration.ofSeconds(3);

  /** How long a home stays at least before it is handed over for an even spread. */
  private static final Duration SETTLED = Duration.ofSeconds(4);

  /** Pause before a lost home is replaced again. */
  private static final Duration RETRY = Duration.ofMillis(300);

  /** The transaction's connection ended with its home. */
  private static final Answer TRANSACTION_GONE =
      Answer.failure(FailureCode.ABORTED, "the home of the group changed", TransactionState.FAILED);

  private final String group;
  private final Context context;
  private final Runnable onHomeChanged;
  private @Nullable HomeRecord record;
  private long revision;
  private boolean recordKnown;
  private boolean taking;
  private boolean leaving;
  private long confirmedNanos;
  private @Nullable GroupPool pool;
  private @Nullable PrimarySupervisor supervisor;
  private final List<GroupPool> retiring = new ArrayList<>();
  private List<BackendServer> servers = List.of();
  private @Nullable GroupDeclaration declaration;
  private Duration transactionIdleLimit = Duration.ofSeconds(30);
  private long lostSinceNanos;
  private long absentSinceNanos;
  private long lastGivenNanos;
  private long begunNanos;
  private long barredRevision = -1;

  /**
   * Creates the group's election.
   *
   * @param onHomeChanged told when another instance, or none, is the home
   */
  public HomeElection(String group, Context context, Runnable onHomeChanged) {
    this.group = group;
    this.context = context;
    this.onHomeChanged = onHomeChanged;
  }

  /** Returns the home's record, null if there is none yet. */
  public @Nullable HomeRecord record() {
    return record;
  }

  /** Returns the pool, if this instance is the home. */
  public @Nullable GroupPool pool() {
    return pool;
  }

  /** Returns whether this instance is the home. */
  public boolean isHome() {
    return pool != null;
  }

  /** Runs work that came over {@code owner}, if this instance is the home. */
  public void submit(Object owner, Work work, WorkHandler handler) {
    GroupPool p = pool;
    if (!work.inTransaction() || work.begins()) {
      if (p == null) {
        handler.onNotHome();
      } else {
        p.submit(owner, work, handler);
      }
      return;
    }
    for (GroupPool each : pools()) {
      if (each.hasTransaction(owner, work.transaction())) {
        each.submit(owner, work, handler);
        return;
      }
    }
    handler.onAnswer(TRANSACTION_GONE);
  }

  /** Rolls back a transaction that came over {@code owner}. */
  public void abandon(Object owner, long transaction) {
    pools().forEach(p -> p.abandon(owner, transaction));
  }

  /** Rolls back all transactions that came over {@code owner}. */
  public void abandonAll(Object owner) {
    pools().forEach(p -> p.abandonAll(owner));
  }

  /** Returns whether work of clients is still running here. */
  public boolean isIdle() {
    return pools().stream().allMatch(GroupPool::isIdle);
  }

  private List<GroupPool> pools() {
    List<GroupPool> all = new ArrayList<>(retiring);
    if (pool != null) {
      all.add(pool);
    }
    return all;
  }

  /** Returns the group's name. */
  public String group() {
    return group;
  }

  /** Takes what operators and servers declare. */
  public void updateDeclaration(
      GroupDeclaration declared, Duration idleLimit, List<BackendServer> present) {
    declaration = declared;
    transactionIdleLimit = idleLimit;
    servers = present;
    if (pool != null) {
      pool.configure(declared.maximumConnections(), idleLimit);
      pool.setServers(present);
    }
  }

  /** Takes the record as the store has it; {@code entry} is null if it has none. */
  public void onRecord(@Nullable KeyValueEntry entry) {
    recordKnown = true;
    if (entry == null || entry.modRevision() <= revision) {
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
    adopt(decoded.get(), entry.modRevision());
    if (before == null || !before.home().equals(decoded.get().home())) {
      lostSinceNanos = 0;
      log("home")
          .with("home", decoded.get().home().name())
          .with("epoch", decoded.get().epoch())
          .with("revision", entry.modRevision())
          .write();
      if (isHome() && !decoded.get().home().equals(context.self())) {
        retire("another instance is the home");
      }
      onHomeChanged.run();
    }
  }

  /** Takes the result of a linearizable read that was sent at {@code sentNanos}. */
  public void onConfirmation(@Nullable KeyValueEntry entry, long sentNanos) {
    onRecord(entry);
    if (entry != null
        && entry.modRevision() == revision
        && record != null
        && (record.home().equals(context.self()) || isSuccessor())) {
      confirmedNanos = Math.max(confirmedNanos, sentNanos);
    }
  }

  /** Says that the home cannot be reached; {@code refused} if its process is not running. */
  public void onHomeLost(boolean refused) {
    HomeRecord r = record;
    if (r == null || isHome() || leaving || lostSinceNanos != 0) {
      return;
    }
    lostSinceNanos = now();
    HomeRecord.Holder lost = r.home();
    log("home-lost").with("home", lost.name()).with("refused", refused).write();
    Duration delay = context.timings().rankDelay().multipliedBy(rank(lost.name()));
    context.scheduler().schedule(delay, () -> replace(lost, refused));
  }

  /** Says that the home answers. */
  public void onHomeResponded() {
    lostSinceNanos = 0;
    if (isStandingIn()) {
      retire("the home answers again");
    }
  }

  /** Returns whether the home does not answer, as far as this instance can tell. */
  public boolean isHomeLost() {
    return lostSinceNanos != 0;
  }

  /** Returns whether this instance may serve in the home's place while that is lost. */
  public boolean isSuccessor() {
    HomeRecord r = record;
    return r != null && context.self().equals(r.successor());
  }

  private boolean isStandingIn() {
    HomeRecord r = record;
    return isHome() && r != null && !r.home().equals(context.self());
  }

  /** Serves on the recorded primary while the home is lost; promotes nothing. */
  private void standIn() {
    HomeRecord r = record;
    if (isHome() || leaving || r == null || !isSuccessor() || revision <= barredRevision) {
      return;
    }
    if (r.promoting() == null && r.primaryId() != null && mayWork(now())) {
      log("standing-in").with("home", r.home().name()).with("revision", revision).write();
      openPool();
      onHomeChanged.run();
    }
  }

  /**
   * Stops this instance's work on the group for a later home, and does not begin it again under a
   * record up to {@code atRevision}. Returns what it acknowledged; null if it goes on, because it
   * became the home after that revision, or because work still runs that is not to be ended.
   *
   * @param atOnce whether statements and transactions that still run are ended
   */
  public @Nullable LogPosition stopWork(String incarnation, long atRevision, boolean atOnce) {
    boolean later = revision > atRevision && record != null && record.home().equals(context.self());
    if (later) {
      log("stop-refused").with("asked_at", atRevision).with("revision", revision).write();
      return null;
    }
    LogPosition acknowledged = pool == null ? LogPosition.ZERO : pool.acknowledged();
    if (incarnation.equals(context.self().incarnation())) {
      barredRevision = Math.max(barredRevision, Math.max(revision, atRevision));
      retire("the home asked to stop");
      if (!atOnce && !isIdle()) {
        return null;
      }
      for (GroupPool old : List.copyOf(retiring)) {
        acknowledged = acknowledged.max(old.acknowledged());
        old.stop();
      }
      retiring.clear();
    }
    return acknowledged;
  }

  /**
   * Becomes the home because the present one asked for it.
   *
   * @param outcome told whether this instance is the home now
   */
  public void takeOver(Consumer<Boolean> outcome) {
    if ((isHome() && !isStandingIn()) || leaving || taking) {
      outcome.accept(isHome());
      return;
    }
    take("asked by the home", outcome);
  }

  /** Hands the group over before this instance stops. */
  public void leave() {
    leaving = true;
    if (isStandingIn()) {
      retire("this instance leaves");
    }
    if (!isHome()) {
      return;
    }
    List<PeerInstance> candidates = candidates(context.self().name());
    handOver(candidates, 0);
  }

  /** Looks at what has to be done; called often. */
  public void tick() {
    if (!recordKnown || declaration == null || leaving) {
      return;
    }
    HomeRecord r = record;
    if (r == null) {
      if (servers.isEmpty()) {
        return;
      }
      absentSinceNanos = absentSinceNanos == 0 ? now() : absentSinceNanos;
      long waited = now() - absentSinceNanos;
      if (waited > context.timings().rankDelay().toNanos() * (2 + 2L * rank(""))) {
        take("no home yet");
      }
      return;
    }
    boolean mine = r.home().name().equals(context.self().name());
    if (mine && !isHome()) {
      take("was the home before it stopped or restarted");
    }
    PrimarySupervisor k = supervisor;
    if (k != null) {
      k.tick();
    }
    if (supervisor != null && now() - confirmedNanos > context.timings().validity().toNanos() / 2) {
      giveAway();
    } else {
      spread();
    }
  }

  /** Hands the group to an instance with fewer groups, if it reaches the same servers. */
  private void spread() {
    PrimarySupervisor k = supervisor;
    GroupPool p = pool;
    if (k == null
        || p == null
        || !context.balance().isDue(now())
        || now() - begunNanos < SETTLED.toNanos()
        || !isRecentlyConfirmed()
        || !k.isSteady()
        || !servers.stream().allMatch(s -> p.canReach(s.id()))) {
      return;
    }
    context
        .balance()
        .receiver(candidates(""), name -> context.homeCount().homesOf(name, group), now())
        .ifPresent(this::offer);
  }

  private void offer(PeerInstance receiver) {
    List<String> open = new ArrayList<>(servers.stream().map(BackendServer::id).toList());
    for (BackendServer s : servers) {
      context
          .peerClient()
          .probeServer(
              receiver,
              new ServerConnector.Target(group, s.id(), s.address()),
              verdict -> {
                if (verdict == PeerClient.PeerReply.YES && open.remove(s.id()) && open.isEmpty()) {
                  log("home-spreading").with("to", receiver.name()).write();
                  handOver(List.of(receiver), 0);
                }
              });
    }
  }

  /** Looks for an instance that can write the record, before this one may no longer work. */
  private void giveAway() {
    if (now() - lastGivenNanos < context.timings().confirmInterval().toNanos()) {
      return;
    }
    lastGivenNanos = now();
    log("home-unconfirmed").with("age_ms", (now() - confirmedNanos) / 1_000_000).write();
    handOver(candidates(context.self().name()).stream().limit(3).toList(), 0);
  }

  /** Writes the record while this instance is the home. */
  void write(HomeRecord next, LongConsumer onApplied, Runnable onFailed) {
    long sent = now();
    context
        .swaps()
        .swap(HomeRecord.keyOf(group), revision, next.encode(), next.writer())
        .thenAccept(
            result -> {
              if (result instanceof SettledResult.Applied applied) {
                if (applied.revision() >= revision) {
                  adopt(next, applied.revision());
                }
                confirmedNanos = Math.max(confirmedNanos, sent);
                onApplied.accept(applied.revision());
              } else {
                log("record-not-written").with("result", result).write();
                if (result instanceof SettledResult.Conflict conflict) {
                  conflict.current().forEach(this::onRecord);
                }
                onFailed.run();
              }
            });
  }

  /** Returns whether this home may work at {@code nanos}. */
  boolean mayWork(long nanos) {
    return nanos - confirmedNanos < context.timings().validity().toNanos();
  }

  /** Returns whether the store confirmed the record lately, so that a change can be recorded. */
  boolean isRecentlyConfirmed() {
    return now() - confirmedNanos < 2 * context.timings().confirmInterval().toNanos();
  }

  /** Returns how many replicas a primary needs to confirm its commits. */
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

  /** Returns the instances that may take the group, without {@code except}; the best first. */
  List<PeerInstance> candidates(String except) {
    return Candidates.rank(
        group,
        context.peerClient().instances().stream().filter(p -> !p.name().equals(except)).toList(),
        name -> context.homeCount().homesOf(name, group));
  }

  /** Begins a line about the group. */
  DecisionLog.Line log(String event) {
    return context.log().event(DecisionLog.Priority.BELIEF, event).with("group", group);
  }

  private void adopt(HomeRecord next, long newRevision) {
    record = next;
    revision = newRevision;
  }

  private int rank(String lost) {
    List<PeerInstance> order = candidates(lost);
    for (int i = 0; i < order.size(); i++) {
      if (order.get(i).name().equals(context.self().name())) {
        return i;
      }
    }
    return order.size();
  }

  private void replace(HomeRecord.Holder lost, boolean refused) {
    HomeRecord r = record;
    if (r == null || !r.home().equals(lost) || lostSinceNanos == 0 || leaving || isHome()) {
      return;
    }
    if (refused) {
      replaceLost("the home's process is not running");
      return;
    }
    List<PeerInstance> others =
        candidates(lost.name()).stream()
            .filter(p -> !p.name().equals(context.self().name()))
            .limit(3)
            .toList();
    if (others.isEmpty()) {
      replaceLost("the home does not answer and there is no other instance");
      return;
    }
    Poll.ask(
        others,
        (peer, verdict) -> context.peerClient().probeHome(peer, group, verdict),
        (yes, no) -> {
          HomeRecord present = record;
          boolean replaced = present != null && !present.home().equals(lost);
          if (replaced) {
            return;
          }
          if (yes == null && no > 0) {
            replaceLost("the home answers neither this instance nor " + no + " others");
          } else {
            lostSinceNanos = 0;
          }
        });
  }

  private void replaceLost(String reason) {
    standIn();
    take(reason);
  }

  /** Tries again to replace a home that is lost, after the store did not record it. */
  private void replaceLater() {
    HomeRecord r = record;
    if (r != null && lostSinceNanos != 0) {
      HomeRecord.Holder lost = r.home();
      context
          .scheduler()
          .schedule(
              RETRY,
              () -> {
                if (record != null && record.home().equals(lost) && lostSinceNanos != 0) {
                  replaceLost("the home is still lost");
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

  private void take(String reason) {
    if (!taking && (!isHome() || isStandingIn())) {
      take(reason, taken -> {});
    }
  }

  private void take(String reason, Consumer<Boolean> outcome) {
    taking = true;
    HomeRecord r = record;
    HomeRecord.Holder successor = chooseSuccessor(r);
    String writer = context.ids().next();
    HomeRecord next =
        r == null
            ? HomeRecord.first(context.self(), successor, writer)
            : r.takenBy(context.self(), successor, writer);
    log("home-taking").with("reason", reason).with("revision", revision).write();
    long before = revision;
    write(
        next,
        applied -> {
          taking = false;
          if (applied == revision) {
            begin();
          }
          outcome.accept(isHome());
        },
        () -> {
          taking = false;
          replaceLater();
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

  private void begin() {
    lostSinceNanos = 0;
    begunNanos = now();
    GroupPool p = pool == null ? openPool() : pool;
    supervisor = new PrimarySupervisor(this, context, p, now());
    HomeRecord r = record;
    log("home-begun").with("epoch", r == null ? 0 : r.epoch()).with("revision", revision).write();
    onHomeChanged.run();
  }

  private GroupPool openPool() {
    Listener listener = new Listener();
    GroupPool p =
        new GroupPool(
            group,
            context.connector(),
            context.scheduler(),
            context.log(),
            this::mayWork,
            context.metrics(),
            listener);
    pool = p;
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

  private void retire(String reason) {
    GroupPool p = pool;
    if (p != null) {
      pool = null;
      if (supervisor != null) {
        supervisor.end();
        supervisor = null;
      }
      log("home-ended").with("reason", reason).with("revision", revision).write();
      retiring.add(p);
      p.retire();
      context.scheduler().schedule(RETIREMENT, () -> end(p));
      onHomeChanged.run();
    }
  }

  private void end(GroupPool old) {
    if (retiring.remove(old)) {
      old.stop();
    }
  }

  private void handOver(List<PeerInstance> candidates, int index) {
    if (index >= candidates.size() || !isHome()) {
      return;
    }
    context
        .peerClient()
        .requestTakeover(
            candidates.get(index),
            group,
            verdict -> {
              if (verdict == PeerClient.PeerReply.YES) {
                retire("handed over to " + candidates.get(index).name());
              } else {
                handOver(candidates, index + 1);
              }
            });
  }

  private long now() {
    return context.scheduler().nanoTime();
  }

  /** Passes on what the pool learns. */
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
    public void onServerStatus(String serverId, ServerStatus status) {
      if (supervisor != null) {
        supervisor.onServerStatus(serverId, status);
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

package org.chicorylane.internal.tenure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.passthrough.ServerStatus;
import org.chicorylane.internal.pool.GroupPool;
import org.chicorylane.internal.pool.PrimaryHalt;
import org.chicorylane.internal.pool.ServerLoss;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.topology.BackendServer;
import org.chicorylane.internal.topology.PeerInstance;
import org.jspecify.annotations.Nullable;

/**
 * The home's care for the group's primary: finds out which server is it, notices its loss, and has
 * the replica with the longest log promoted.
 *
 * <p>Confined to the instance's thread.
 */
final class PrimaryKeeper {

  /** Pause before a promotion that failed is tried again. */
  private static final Duration RETRY = Duration.ofMillis(200);

  /** How often a server that was promoted is asked whether it leads. */
  private static final Duration LEAD_POLL = Duration.ofMillis(40);

  /** A commit that no replica confirms for so long shows that the primary is cut off from them. */
  private static final long UNCONFIRMED_MILLIS = 500;

  /** Time in which replicas may find a primary that was just promoted. */
  private static final Duration SETTLING = Duration.ofSeconds(2);

  /** Time in which a replica that is connected receives what the primary has. */
  private static final Duration REPLICATION_CHECK = Duration.ofMillis(150);

  /** Instances asked whether they reach a primary. */
  private static final int WITNESSES = 3;

  private enum Step {
    /** A primary leads, as far as is known. */
    STEADY,
    /** Other instances are asked whether they reach the primary. */
    ASKING,
    /** Waiting until no earlier home can use the old primary. */
    EXCLUDING,
    /** Letting running work end before a planned change. */
    QUIESCING,
    /** Stopping the replicas and reading their logs' ends. */
    SEALING,
    /** The order is under way, or accepted and not yet seen. */
    PROMOTING,
    /** Pausing before the next attempt. */
    PAUSING,
    /** This instance is no longer the home; nothing more is done or sent. */
    ENDED
  }

  private final GroupTenure tenure;
  private final GroupTenure.Context context;
  private final GroupPool pool;
  private final long begunNanos;
  private final Map<String, ServerStatus> statuses = new HashMap<>();
  private final Set<HomeRecord.Holder> stopped = new HashSet<>();
  private final Set<HomeRecord.Holder> asked = new HashSet<>();
  private final Map<HomeRecord.Holder, Long> replacedNanos = new HashMap<>();
  private Step step = Step.STEADY;
  private long stepNanos;
  private long attempt;
  private boolean planned;
  private boolean knowsAcknowledged;
  private LogPosition acknowledgedBefore = LogPosition.ZERO;
  private LogPosition promotedFrom = LogPosition.ZERO;
  private long adoptedNanos;
  private boolean checkingReplication;
  private boolean writing;
  private @Nullable String avoid;
  private @Nullable Evidence evidence;

  PrimaryKeeper(GroupTenure tenure, GroupTenure.Context context, GroupPool pool, long nowNanos) {
    this.tenure = tenure;
    this.context = context;
    this.pool = pool;
    this.begunNanos = nowNanos;
    HomeRecord r = tenure.record();
    this.knowsAcknowledged = r != null && r.priorHomes().isEmpty() && r.epoch() == 1;
  }

  /** Ends the care: another instance is the home. What is still under way decides nothing. */
  void end() {
    enter(Step.ENDED);
  }

  void onServerStatus(String serverId, ServerStatus status) {
    statuses.put(serverId, status);
    HomeRecord r = tenure.record();
    if (r == null || step == Step.ENDED) {
      return;
    }
    boolean recorded = serverId.equals(r.primaryId());
    if (status.primary() && (status.term() > r.term() || (recorded && r.term() == 0))) {
      adopt(serverId, status.term());
    } else if (status.primary() && !recorded && status.term() < r.term()) {
      pool.command(serverId, new ServerCommand.StepDown(r.term()), ignore());
    } else if (recorded && !status.primary() && step == Step.STEADY) {
      tenure.log("primary-denies").with("server", serverId).with("term", status.term()).write();
      startChange(false, "server " + serverId + " is a replica now");
    } else if (step == Step.STEADY && status.sealedTerm() > 0 && !status.primary()) {
      pool.command(serverId, new ServerCommand.ResumeReceiving(), ignore());
    }
  }

  void onPrimaryDenied(String serverId) {
    HomeRecord r = tenure.record();
    if (step == Step.STEADY && r != null && serverId.equals(r.primaryId())) {
      pool.command(serverId, new ServerCommand.Status(), statusOf(serverId, () -> {}));
    }
  }

  void onServerLost(String serverId, ServerLoss loss) {
    statuses.remove(serverId);
    HomeRecord r = tenure.record();
    if (r == null || step != Step.STEADY || !serverId.equals(r.primaryId())) {
      return;
    }
    BackendServer entry = entryOf(serverId);
    if (entry == null || loss.isCertain()) {
      startChange(false, "primary " + serverId + ": " + loss);
      return;
    }
    enter(Step.ASKING);
    Evidence known = evidence;
    if (known != null && known.isFresh(serverId)) {
      known.judgeWhenDone(loss);
    } else {
      collectEvidence(entry).judgeWhenDone(loss);
    }
  }

  /** Asks other instances about a primary that is quiet, in case that it is lost. */
  void onServerQuiet(String serverId) {
    HomeRecord r = tenure.record();
    BackendServer entry = entryOf(serverId);
    boolean asksAlready = evidence != null && evidence.isFresh(serverId);
    if (r != null
        && step == Step.STEADY
        && serverId.equals(r.primaryId())
        && entry != null
        && !asksAlready) {
      collectEvidence(entry);
    }
  }

  private Evidence collectEvidence(BackendServer server) {
    Evidence fresh = new Evidence(server.id());
    evidence = fresh;
    fresh.ask(new ServerConnector.Target(server.group(), server.id(), server.address()));
    return fresh;
  }

  /** What other instances say about a server. */
  private final class Evidence {
    private final String serverId;
    private final long askedNanos = now();
    private @Nullable PeerInstance reachedBy;
    private int notReached;
    private boolean alone;
    private boolean done;
    private @Nullable ServerLoss loss;

    Evidence(String serverId) {
      this.serverId = serverId;
    }

    boolean isFresh(String id) {
      return id.equals(serverId)
          && now() - askedNanos < 2 * context.timings().evidenceTimeout().toNanos();
    }

    void ask(ServerConnector.Target target) {
      List<PeerInstance> witnesses =
          tenure.candidates(context.self().name()).stream().limit(WITNESSES).toList();
      alone = witnesses.isEmpty();
      Poll.ask(
          witnesses,
          (peer, verdict) -> context.peers().probe(peer, target, verdict),
          (yes, no) -> {
            reachedBy = yes;
            notReached = no;
            done = true;
            judgeIfLost();
          });
    }

    void judgeWhenDone(ServerLoss serverLoss) {
      loss = serverLoss;
      judgeIfLost();
    }

    private void judgeIfLost() {
      ServerLoss known = loss;
      if (done && known != null && step == Step.ASKING && evidence == this) {
        evidence = null;
        judge(serverId, known, reachedBy, notReached, alone);
      }
    }
  }

  private void judge(
      String serverId, ServerLoss loss, @Nullable PeerInstance yes, int no, boolean alone) {
    tenure
        .log("primary-evidence")
        .with("server", serverId)
        .with("reached_by", yes == null ? null : yes.name())
        .with("not_reached_by", no)
        .write();
    if (pool.reaches(serverId)) {
      enter(Step.STEADY);
    } else if (yes != null) {
      enter(Step.STEADY);
      context.peers().takeHome(yes, tenure.group(), verdict -> {});
    } else if (no > 0 || alone) {
      startChange(false, "primary " + serverId + ": " + loss);
    } else {
      enter(Step.STEADY);
    }
  }

  void tick() {
    HomeRecord r = tenure.record();
    if (r == null) {
      return;
    }
    if (!r.priorHomes().isEmpty()) {
      r.priorHomes().forEach(this::askToStop);
    }
    long inStep = (now() - stepNanos) / 1_000_000;
    switch (step) {
      case STEADY -> steady(r);
      case ASKING -> {
        if (inStep > 2 * context.timings().evidenceTimeout().toMillis()) {
          enter(Step.STEADY);
        }
      }
      case EXCLUDING -> {
        stopSuccessor(r, inStep);
        if (isExclusive(r)) {
          proceed();
        }
      }
      case QUIESCING -> quiesce(r, inStep);
      case SEALING -> {
        if (inStep > context.timings().sealTimeout().toMillis()) {
          choose(r);
        }
      }
      case PROMOTING -> {
        if (inStep > context.timings().promotionTimeout().toMillis()) {
          restart("the promoted server did not lead in time");
        }
      }
      default -> {
        // While pausing a timer goes on, and after the end nothing does.
      }
    }
  }

  private void steady(HomeRecord r) {
    String primary = r.primaryId();
    if (primary == null) {
      findFirstPrimary();
      return;
    }
    if (writing) {
      return;
    }
    String promoting = r.promoting();
    if (promoting != null) {
      ServerStatus status = statuses.get(promoting);
      if (status != null && status.primary() && status.term() > r.term()) {
        adopt(promoting, status.term());
      } else {
        startChange(false, "an earlier home was promoting " + promoting);
      }
      return;
    }
    BackendServer entry = entryOf(primary);
    boolean others = tenure.servers().stream().anyMatch(s -> isCandidate(s, primary));
    if (!others) {
      return;
    }
    if (entry == null) {
      if (now() - begunNanos > Duration.ofSeconds(3).toNanos()) {
        startChange(pool.reaches(primary), "the entry of primary " + primary + " is gone");
      }
    } else if (entry.draining()) {
      startChange(true, "primary " + primary + " is draining");
    } else if (!pool.reaches(primary)
        && now() - begunNanos > Duration.ofSeconds(1).toNanos()
        && !statuses.containsKey(primary)) {
      onServerLost(primary, ServerLoss.SILENT);
    } else if (pool.oldestCommitMillis() > UNCONFIRMED_MILLIS
        && now() - adoptedNanos > SETTLING.toNanos()
        && tenure.isRecentlyConfirmed()) {
      checkReplication(primary);
    }
  }

  /** Compares the primary's log with what replicas hold a while later. */
  private void checkReplication(String primary) {
    if (checkingReplication) {
      return;
    }
    checkingReplication = true;
    context.scheduler().schedule(REPLICATION_CHECK.multipliedBy(3), this::endReplicationCheck);
    statuses.remove(primary);
    pool.command(
        primary,
        new ServerCommand.Status(),
        statusOf(
            primary,
            () -> context.scheduler().schedule(REPLICATION_CHECK, () -> askReplicas(primary))));
  }

  private void askReplicas(String primary) {
    for (BackendServer s : tenure.servers()) {
      if (!s.id().equals(primary)) {
        statuses.remove(s.id());
        pool.command(s.id(), new ServerCommand.Status(), statusOf(s.id(), () -> {}));
      }
    }
    context
        .scheduler()
        .schedule(
            REPLICATION_CHECK,
            () -> {
              if (step == Step.STEADY && cutFromReplicas(primary)) {
                startChange(false, "no replica confirms the commits of primary " + primary);
              }
            });
  }

  private void endReplicationCheck() {
    checkingReplication = false;
  }

  private boolean cutFromReplicas(String primary) {
    ServerStatus lead = statuses.get(primary);
    if (lead == null) {
      return false;
    }
    int behind = 0;
    for (BackendServer s : tenure.servers()) {
      ServerStatus status = statuses.get(s.id());
      if (s.id().equals(primary) || status == null) {
        continue;
      }
      behind++;
      if (status.received().compareTo(lead.received()) >= 0) {
        return false;
      }
    }
    return behind > tenure.confirmingReplicas();
  }

  private void findFirstPrimary() {
    for (BackendServer s : tenure.servers()) {
      ServerStatus status = statuses.get(s.id());
      if (status != null && status.primary()) {
        adopt(s.id(), status.term());
        return;
      }
    }
    boolean allKnown = tenure.servers().stream().allMatch(s -> statuses.containsKey(s.id()));
    if (allKnown && !tenure.servers().isEmpty()) {
      startChange(false, "no server of the group is a primary");
    }
  }

  private void adopt(String serverId, long term) {
    HomeRecord r = tenure.record();
    if (step == Step.ENDED
        || writing
        || r == null
        || (r.term() == term && serverId.equals(r.primaryId()))) {
      return;
    }
    tenure.log("primary").with("server", serverId).with("term", term).with("step", step).write();
    final boolean changed = step != Step.STEADY;
    enter(Step.STEADY);
    pool.halt(PrimaryHalt.NOTHING);
    pool.setPrimary(serverId, term);
    if (changed) {
      pool.raiseAcknowledged(promotedFrom);
      knowsAcknowledged = true;
    }
    adoptedNanos = now();
    avoid = null;
    writing = true;
    if (r.successor() != null) {
      stopped.remove(r.successor());
    }
    tenure.write(
        r.ledBy(serverId, term, priorHomesStopped(r), context.ids().next()),
        revision -> writing = false,
        () -> writing = false);
  }

  private void startChange(boolean isPlanned, String reason) {
    if (step != Step.STEADY && step != Step.ASKING) {
      return;
    }
    tenure.log("primary-change").with("planned", isPlanned).with("reason", reason).write();
    planned = isPlanned;
    pool.halt(PrimaryHalt.WRITES);
    enter(Step.EXCLUDING);
    HomeRecord r = tenure.record();
    if (r != null) {
      stopSuccessor(r, 0);
      if (step == Step.EXCLUDING && isExclusive(r)) {
        proceed();
      }
    }
  }

  /** Returns whether no other instance can use the present primary any more. */
  private boolean isExclusive(HomeRecord r) {
    return priorHomesStopped(r) && (r.successor() == null || stopped.contains(r.successor()));
  }

  private boolean priorHomesStopped(HomeRecord r) {
    long validity = context.timings().validity().toNanos();
    return r.priorHomes().stream()
        .allMatch(
            h ->
                stopped.contains(h)
                    || now() - replacedNanos.getOrDefault(h, begunNanos) > validity);
  }

  /** Asks the successor not to stand in, or takes the right from it if it does not answer. */
  private void stopSuccessor(HomeRecord r, long inStepMillis) {
    HomeRecord.Holder successor = r.successor();
    if (successor == null || stopped.contains(successor)) {
      return;
    }
    askToStop(successor);
    if (inStepMillis > context.timings().evidenceTimeout().toMillis() && !writing) {
      writing = true;
      tenure.write(
          r.withoutSuccessor(context.ids().next()),
          revision -> {
            writing = false;
            replacedNanos.put(successor, now());
          },
          () -> writing = false);
    }
  }

  private void askToStop(HomeRecord.Holder earlier) {
    if (stopped.contains(earlier) || !asked.add(earlier)) {
      return;
    }
    context
        .peers()
        .stopHome(
            tenure.group(),
            earlier,
            tenure.revision(),
            stop -> {
              asked.remove(earlier);
              if (stop.stopped()) {
                stopped.add(earlier);
                acknowledgedBefore = acknowledgedBefore.max(stop.acknowledged());
                tenure.log("home-stopped").with("home", earlier.name()).write();
                HomeRecord r = tenure.record();
                if (step == Step.EXCLUDING && r != null && isExclusive(r)) {
                  proceed();
                }
              }
            });
  }

  private void proceed() {
    if (planned) {
      enter(Step.QUIESCING);
    } else {
      seal();
    }
  }

  private void quiesce(HomeRecord r, long waitedMillis) {
    String primary = r.primaryId();
    ServerStatus lead = primary == null ? null : statuses.get(primary);
    boolean idle = pool.primaryActivity() == 0;
    if (!idle && waitedMillis < context.timings().quiesceLimit().toMillis()) {
      return;
    }
    if (lead == null || waitedMillis > 2 * context.timings().quiesceLimit().toMillis()) {
      seal();
      return;
    }
    long mine = attempt;
    boolean sent =
        pool.command(
            primary == null ? "" : primary,
            new ServerCommand.Status(),
            statusOf(
                primary == null ? "" : primary,
                () -> {
                  if (mine == attempt && step == Step.QUIESCING) {
                    seal();
                  }
                }));
    if (!sent) {
      seal();
    }
  }

  private void seal() {
    enter(Step.SEALING);
    HomeRecord r = tenure.record();
    if (r == null) {
      return;
    }
    long sealTerm = r.term() + 1;
    long mine = attempt;
    List<String> open = new ArrayList<>();
    for (BackendServer s : tenure.servers()) {
      if (!s.id().equals(r.primaryId())) {
        open.add(s.id());
      }
    }
    List<String> replicas = List.copyOf(open);
    for (String id : replicas) {
      statuses.remove(id);
      Runnable next =
          () -> {
            open.remove(id);
            if (open.isEmpty() && mine == attempt && step == Step.SEALING) {
              choose(r);
            }
          };
      if (!pool.command(id, new ServerCommand.StopReceiving(sealTerm), statusOf(id, next))) {
        tenure.log("replica-not-sealed").with("server", id).write();
      }
    }
  }

  private void choose(HomeRecord before) {
    HomeRecord r = tenure.record();
    if (r == null || r.epoch() != before.epoch()) {
      return;
    }
    BackendServer best = null;
    LogPosition furthest = LogPosition.ZERO;
    boolean allTold = true;
    for (BackendServer s : tenure.servers()) {
      if (s.id().equals(r.primaryId())) {
        continue;
      }
      ServerStatus status = statuses.get(s.id());
      if (status == null) {
        allTold = false;
        continue;
      }
      if (status.primary() && status.term() > r.term()) {
        adopt(s.id(), status.term());
        return;
      }
      boolean further = status.received().compareTo(furthest) > 0;
      boolean preferred =
          status.received().equals(furthest) && best != null && best.draining() && !s.draining();
      if (best == null || further || preferred) {
        best = s;
        furthest = status.received();
      }
    }
    LogPosition needed = pool.acknowledged().max(acknowledgedBefore);
    boolean complete = allTold || (knowsAcknowledged && furthest.compareTo(needed) >= 0);
    ServerStatus old = r.primaryId() == null ? null : statuses.get(r.primaryId());
    if (best != null && !complete && old != null && !planned) {
      complete = furthest.compareTo(old.received()) >= 0;
    }
    if (best == null || !complete || best.id().equals(avoid)) {
      avoid = null;
      restart(
          best == null
              ? "no replica answers"
              : "a replica that may hold acknowledged commits does not answer");
      return;
    }
    promote(r, best, furthest);
  }

  private void promote(HomeRecord r, BackendServer target, LogPosition received) {
    enter(Step.PROMOTING);
    promotedFrom = received;
    long mine = attempt;
    tenure
        .log("promoting")
        .with("server", target.id())
        .with("received", received)
        .with("term", r.term())
        .write();
    tenure.write(
        r.promoting(target.id(), context.ids().next()),
        revision -> {
          if (mine == attempt && step == Step.PROMOTING) {
            order(target.id(), revision, mine);
          }
        },
        () -> {
          if (mine == attempt) {
            restart("the record could not be written");
          }
        });
  }

  private void order(String target, long token, long mine) {
    if (mine != attempt || step != Step.PROMOTING || !tenure.mayWork(now())) {
      return;
    }
    pool.halt(PrimaryHalt.EVERYTHING);
    context
        .promoter()
        .promote(
            tenure.group(),
            target,
            token,
            outcome -> {
              tenure
                  .log("promotion-order")
                  .with("server", target)
                  .with("token", token)
                  .with("outcome", outcome)
                  .write();
              if (mine != attempt || step != Step.PROMOTING) {
                return;
              }
              if (outcome == Promoter.Outcome.REJECTED) {
                avoid = target;
                restart("server " + target + " cannot be promoted");
              } else if (outcome == Promoter.Outcome.UNKNOWN) {
                context.scheduler().schedule(RETRY, () -> order(target, token, mine));
              } else {
                pollLead(target, mine);
              }
            });
  }

  private void pollLead(String target, long mine) {
    if (mine != attempt || step != Step.PROMOTING) {
      return;
    }
    pool.command(target, new ServerCommand.Status(), statusOf(target, () -> {}));
    context.scheduler().schedule(LEAD_POLL, () -> pollLead(target, mine));
  }

  private void restart(String reason) {
    tenure.log("promotion-restarted").with("reason", reason).write();
    enter(Step.PAUSING);
    long mine = attempt;
    planned = false;
    context
        .scheduler()
        .schedule(
            RETRY,
            () -> {
              HomeRecord r = tenure.record();
              if (mine != attempt || r == null) {
                return;
              }
              String primary = r.primaryId();
              ServerStatus status = primary == null ? null : statuses.get(primary);
              BackendServer entry = primary == null ? null : entryOf(primary);
              boolean leads = status != null && status.primary() && status.term() == r.term();
              if (leads && entry != null && !entry.draining() && r.promoting() == null) {
                tenure.log("primary-returned").with("server", primary).write();
                enter(Step.STEADY);
                pool.halt(PrimaryHalt.NOTHING);
              } else {
                enter(Step.EXCLUDING);
              }
            });
  }

  private ServerLink.AnswerHandler statusOf(String serverId, Runnable next) {
    return new ServerLink.AnswerHandler() {
      @Override
      public void onAnswer(Answer answer) {
        ServerStatus status = answer.status();
        if (status != null) {
          onServerStatus(serverId, status);
          statuses.put(serverId, status);
        }
        next.run();
      }

      @Override
      public void onLost() {
        next.run();
      }
    };
  }

  private static ServerLink.AnswerHandler ignore() {
    return new ServerLink.AnswerHandler() {
      @Override
      public void onAnswer(Answer answer) {}

      @Override
      public void onLost() {}
    };
  }

  private boolean isCandidate(BackendServer s, String primary) {
    return !s.id().equals(primary) && !s.draining();
  }

  private @Nullable BackendServer entryOf(String id) {
    return tenure.servers().stream().filter(s -> s.id().equals(id)).findFirst().orElse(null);
  }

  private void enter(Step next) {
    step = next;
    stepNanos = now();
    attempt++;
  }

  private long now() {
    return context.scheduler().nanoTime();
  }
}

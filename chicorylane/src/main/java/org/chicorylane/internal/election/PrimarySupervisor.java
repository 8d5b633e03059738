package org.chicorylane.internal.election;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
final class PrimarySupervisor {

  /** Pause before a promotion that failed is tried again. */
  private static final Duration RETRY = Duration.ofMillis(200);

  /** How often a server that was promoted is asked whether it leads. */
  private static final Duration LEAD_POLL = Duration.ofMillis(40);

  /** A commit that no replica confirms for so long shows that the primary is cut off from them. */
  private static final long UNCONFIRMED_MILLIS = 500;

  /** Time in which replicas may find a primary that was just promoted. */
  private static final Duration SETTLING = Duration.ofSeconds(2);

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

  private final HomeElection election;
  private final HomeElection.Context context;
  private final GroupPool pool;
  private final long begunNanos;
  private final Map<String, ServerStatus> statuses = new HashMap<>();
  private final HomeExclusion exclusion;
  private final ReplicationCheck replication;
  private Step step = Step.STEADY;
  private long stepNanos;
  private long attempt;
  private boolean planned;
  private boolean knowsAcknowledged;
  private LogPosition promotedFrom = LogPosition.ZERO;
  private long adoptedNanos;
  private boolean writing;
  private @Nullable String avoid;
  private @Nullable ServerEvidence evidence;

  PrimarySupervisor(
      HomeElection election, HomeElection.Context context, GroupPool pool, long nowNanos) {
    this.election = election;
    this.context = context;
    this.pool = pool;
    this.begunNanos = nowNanos;
    this.replication = new ReplicationCheck(context.scheduler(), statuses, this::askStatus);
    this.exclusion = new HomeExclusion(election, context, this::proceedIfExclusive);
    HomeRecord r = election.record();
    this.knowsAcknowledged = r != null && r.priorHomes().isEmpty() && r.epoch() == 1;
  }

  /** Returns whether a primary leads and no change of it is under way. */
  boolean isSteady() {
    HomeRecord r = election.record();
    return step == Step.STEADY
        && !writing
        && r != null
        && r.primaryId() != null
        && r.promoting() == null;
  }

  /** Ends the care: another instance is the home. What is still under way decides nothing. */
  void end() {
    enter(Step.ENDED);
  }

  void onServerStatus(String serverId, ServerStatus status) {
    statuses.put(serverId, status);
    HomeRecord r = election.record();
    if (r == null || step == Step.ENDED) {
      return;
    }
    boolean recorded = serverId.equals(r.primaryId());
    if (status.primary()
        && (status.term() > r.term()
            || (recorded && r.term() == 0)
            || tookItsPlace(serverId, status, r))) {
      adopt(serverId, status.term());
    } else if (status.primary() && !recorded && status.term() < r.term()) {
      pool.sendCommand(serverId, new ServerCommand.StepDown(r.term()), ignore());
    } else if (recorded && !status.primary() && step == Step.STEADY) {
      election.log("primary-denies").with("server", serverId).with("term", status.term()).write();
      startChange(false, "server " + serverId + " is a replica now");
    } else if (step == Step.STEADY && status.sealedTerm() > 0 && !status.primary()) {
      pool.sendCommand(serverId, new ServerCommand.ResumeReceiving(), ignore());
    }
  }

  /**
   * Returns whether a server leads the recorded term in place of the recorded primary: a new
   * process with its log. Not while another server may still be promoted.
   */
  private boolean tookItsPlace(String serverId, ServerStatus status, HomeRecord r) {
    String recorded = r.primaryId();
    if (recorded == null || recorded.equals(serverId) || pool.canReach(recorded)) {
      return false;
    }
    boolean othersPromoted =
        r.promoting() == null ? step == Step.PROMOTING : !r.promoting().equals(serverId);
    return !othersPromoted && status.primary() && status.term() == r.term();
  }

  void onPrimaryRoleRefused(String serverId) {
    HomeRecord r = election.record();
    if (step == Step.STEADY && r != null && serverId.equals(r.primaryId())) {
      askStatus(serverId, () -> {});
    }
  }

  void onServerLost(String serverId, ServerLoss loss) {
    statuses.remove(serverId);
    HomeRecord r = election.record();
    if (r == null || step != Step.STEADY || !serverId.equals(r.primaryId())) {
      return;
    }
    BackendServer entry = entryOf(serverId);
    if (entry == null || loss.isCertain()) {
      startChange(false, "primary " + serverId + ": " + loss);
      return;
    }
    enter(Step.ASKING);
    long mine = attempt;
    evidenceOn(entry)
        .whenDone(
            findings -> {
              if (mine == attempt && step == Step.ASKING) {
                judge(serverId, loss, findings);
              }
            });
  }

  /** Asks other instances about a primary that is quiet, in case that it is lost. */
  void onServerUnresponsive(String serverId) {
    HomeRecord r = election.record();
    BackendServer entry = entryOf(serverId);
    if (r != null && step == Step.STEADY && serverId.equals(r.primaryId()) && entry != null) {
      evidenceOn(entry);
    }
  }

  /** Returns what witnesses say about a server; asks them unless they were asked just now. */
  private ServerEvidence evidenceOn(BackendServer server) {
    long maximumAge = 2 * context.timings().evidenceTimeout().toNanos();
    ServerEvidence known = evidence;
    if (known != null && known.isFresh(server.id(), now(), maximumAge)) {
      return known;
    }
    ServerEvidence fresh =
        ServerEvidence.ask(
            context,
            election.candidates(context.self().name()),
            new ServerConnector.Target(server.group(), server.id(), server.address()));
    evidence = fresh;
    return fresh;
  }

  private void judge(String serverId, ServerLoss loss, ServerEvidence.Findings findings) {
    evidence = null;
    PeerInstance reachedBy = findings.reachedBy();
    election
        .log("primary-evidence")
        .with("server", serverId)
        .with("reached_by", reachedBy == null ? null : reachedBy.name())
        .with("not_reached_by", findings.notReached())
        .write();
    if (!pool.canReach(serverId)
        && reachedBy == null
        && (findings.notReached() > 0 || findings.alone())) {
      startChange(false, "primary " + serverId + ": " + loss);
      return;
    }
    enter(Step.STEADY);
    if (!pool.canReach(serverId) && reachedBy != null) {
      context.peerClient().requestTakeover(reachedBy, election.group(), verdict -> {});
    }
  }

  void tick() {
    HomeRecord r = election.record();
    if (r == null) {
      return;
    }
    exclusion.endPriorHomes(r);
    long inStep = (now() - stepNanos) / 1_000_000;
    switch (step) {
      case STEADY -> steady(r);
      case ASKING -> {
        if (inStep > 2 * context.timings().evidenceTimeout().toMillis()) {
          enter(Step.STEADY);
        }
      }
      case EXCLUDING -> {
        exclusion.stopPriorHomes(r);
        exclusion.stopSuccessor(r, inStep);
        proceedIfExclusive();
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
    boolean others = election.servers().stream().anyMatch(s -> isCandidate(s, primary));
    if (!others) {
      return;
    }
    if (entry == null) {
      if (now() - begunNanos > Duration.ofSeconds(3).toNanos()) {
        startChange(pool.canReach(primary), "the entry of primary " + primary + " is gone");
      }
    } else if (entry.draining()) {
      startChange(true, "primary " + primary + " is draining");
    } else if (!pool.canReach(primary)
        && now() - begunNanos > Duration.ofSeconds(1).toNanos()
        && !statuses.containsKey(primary)) {
      onServerLost(primary, ServerLoss.SILENT);
    } else if (pool.oldestPendingCommitMillis() > UNCONFIRMED_MILLIS
        && now() - adoptedNanos > SETTLING.toNanos()
        && election.isRecentlyConfirmed()) {
      replication.begin(
          primary,
          election.servers(),
          election.confirmingReplicas(),
          () -> {
            if (step == Step.STEADY) {
              startChange(false, "no replica confirms the commits of primary " + primary);
            }
          });
    }
  }

  private void findFirstPrimary() {
    for (BackendServer s : election.servers()) {
      ServerStatus status = statuses.get(s.id());
      if (status != null && status.primary()) {
        adopt(s.id(), status.term());
        return;
      }
    }
    boolean allKnown = election.servers().stream().allMatch(s -> statuses.containsKey(s.id()));
    if (allKnown && !election.servers().isEmpty()) {
      startChange(false, "no server of the group is a primary");
    }
  }

  private void adopt(String serverId, long term) {
    HomeRecord r = election.record();
    if (step == Step.ENDED
        || writing
        || r == null
        || (r.term() == term && serverId.equals(r.primaryId()))) {
      return;
    }
    election.log("primary").with("server", serverId).with("term", term).with("step", step).write();
    final boolean promoted = step == Step.PROMOTING && term > r.term();
    enter(Step.STEADY);
    pool.setPrimaryHalt(PrimaryHalt.NOTHING);
    pool.setPrimary(serverId, term);
    if (promoted) {
      pool.raiseAcknowledged(promotedFrom);
      knowsAcknowledged = true;
    }
    adoptedNanos = now();
    avoid = null;
    writing = true;
    exclusion.onNewRecord(r);
    election.write(
        r.ledBy(serverId, term, exclusion.priorHomesStopped(r), context.ids().next()),
        revision -> writing = false,
        () -> writing = false);
  }

  private void startChange(boolean isPlanned, String reason) {
    if (step != Step.STEADY && step != Step.ASKING) {
      return;
    }
    election.log("primary-change").with("planned", isPlanned).with("reason", reason).write();
    planned = isPlanned;
    pool.setPrimaryHalt(PrimaryHalt.WRITES);
    enter(Step.EXCLUDING);
    HomeRecord r = election.record();
    if (r != null) {
      askAnew(r.primaryId());
      exclusion.stopPriorHomes(r);
      exclusion.stopSuccessor(r, 0);
      proceedIfExclusive();
    }
  }

  private void proceedIfExclusive() {
    HomeRecord r = election.record();
    if (step == Step.EXCLUDING && r != null && exclusion.isExclusive(r)) {
      proceed();
    }
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
    boolean idle = pool.primaryConnectionsInUse() == 0;
    if (!idle && waitedMillis < context.timings().quiesceLimit().toMillis()) {
      return;
    }
    if (lead == null || waitedMillis > 2 * context.timings().quiesceLimit().toMillis()) {
      seal();
      return;
    }
    long mine = attempt;
    boolean sent =
        pool.sendCommand(
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
    HomeRecord r = election.record();
    if (r == null) {
      return;
    }
    long sealTerm = r.term() + 1;
    long mine = attempt;
    List<String> open = new ArrayList<>();
    for (BackendServer s : election.servers()) {
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
      if (!pool.sendCommand(id, new ServerCommand.StopReceiving(sealTerm), statusOf(id, next))) {
        election.log("replica-not-sealed").with("server", id).write();
      }
    }
  }

  private void choose(HomeRecord before) {
    HomeRecord r = election.record();
    if (r == null || r.epoch() != before.epoch()) {
      return;
    }
    LogPosition needed = pool.acknowledged().max(exclusion.acknowledged());
    ServerStatus old = r.primaryId() == null ? null : statuses.get(r.primaryId());
    PromotionChoice choice =
        PromotionChoice.choose(
            election.servers(),
            statuses,
            r.primaryId(),
            r.term(),
            knowsAcknowledged ? needed : null,
            planned || old == null ? null : old.received().max(needed));
    if (choice instanceof PromotionChoice.Leads leads) {
      adopt(leads.serverId(), leads.term());
    } else if (choice instanceof PromotionChoice.Promote best
        && !best.server().id().equals(avoid)) {
      promote(r, best.server(), best.received());
    } else {
      avoid = null;
      restart(
          choice instanceof PromotionChoice.Wait wait ? wait.reason() : "it was refused before");
    }
  }

  private void promote(HomeRecord r, BackendServer target, LogPosition received) {
    enter(Step.PROMOTING);
    promotedFrom = received;
    long mine = attempt;
    election
        .log("promoting")
        .with("server", target.id())
        .with("received", received)
        .with("term", r.term())
        .write();
    election.write(
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
    if (mine != attempt || step != Step.PROMOTING || !election.mayWork(now())) {
      return;
    }
    pool.setPrimaryHalt(PrimaryHalt.EVERYTHING);
    context
        .promoter()
        .promote(
            election.group(),
            target,
            token,
            outcome -> {
              election
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
    askStatus(target, () -> {});
    context.scheduler().schedule(LEAD_POLL, () -> pollLead(target, mine));
  }

  private void restart(String reason) {
    election.log("promotion-restarted").with("reason", reason).write();
    enter(Step.PAUSING);
    long mine = attempt;
    planned = false;
    context
        .scheduler()
        .schedule(
            RETRY,
            () -> {
              HomeRecord r = election.record();
              if (mine != attempt || r == null) {
                return;
              }
              String primary = r.primaryId();
              ServerStatus status = primary == null ? null : statuses.get(primary);
              BackendServer entry = primary == null ? null : entryOf(primary);
              boolean leads = status != null && status.primary() && status.term() == r.term();
              if (leads && entry != null && !entry.draining() && r.promoting() == null) {
                election.log("primary-returned").with("server", primary).write();
                enter(Step.STEADY);
                pool.setPrimaryHalt(PrimaryHalt.NOTHING);
              } else {
                enter(Step.EXCLUDING);
              }
            });
  }

  /** Forgets what a primary told before its writes were held back, and asks it again. */
  private void askAnew(@Nullable String primaryId) {
    if (primaryId != null && !planned) {
      statuses.remove(primaryId);
      askStatus(primaryId, () -> {});
    }
  }

  private void askStatus(String serverId, Runnable next) {
    pool.sendCommand(serverId, new ServerCommand.Status(), statusOf(serverId, next));
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
    return election.servers().stream().filter(s -> s.id().equals(id)).findFirst().orElse(null);
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

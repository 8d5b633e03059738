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
 * Supervises the group's primary while this instance is the home: determines which server is the
 * primary, detects its loss, and requests the promotion of the replica with the longest log.
 *
 * <p>Confined to the instance's thread.
 */
final class PrimarySupervisor {

  /** Delay before a failed promotion is retried. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(200);

  /** Interval at which a promoted server is asked whether it is the primary. */
  private static final Duration PROMOTION_POLL_INTERVAL = Duration.ofMillis(40);

  /**
   * Age of an unconfirmed commit after which the home checks whether the primary is cut off from
   * its replicas.
   */
  private static final long MAX_UNCONFIRMED_MILLIS = 500;

  /** Time allowed for replicas to connect to a newly promoted primary. */
  private static final Duration SETTLING_TIME = Duration.ofSeconds(2);

  private enum Step {
    /** A primary is believed to lead the group, or the first one is not known yet. */
    STEADY,
    /** Waiting for other instances to report whether they reach the primary. */
    ASKING,
    /** Waiting until no other instance can use the old primary. */
    EXCLUDING,
    /** Waiting for running work to finish before a planned change. */
    QUIESCING,
    /** Sealing the replicas and reading the ends of their logs. */
    SEALING,
    /** The promotion is being requested, or was accepted and is not observed yet. */
    PROMOTING,
    /** Waiting before the next attempt. */
    PAUSING,
    /** This instance is no longer the home; nothing more is decided or sent. */
    ENDED
  }

  private final HomeElection election;
  private final HomeElection.Context context;
  private final GroupPool pool;
  private final long startNanos;
  private final Map<String, ServerStatus> statuses = new HashMap<>();

  /** Time at which the status of each server in {@link #statuses} was requested. */
  private final Map<String, Long> statusAskedNanos = new HashMap<>();

  private final HomeExclusion exclusion;
  private final ReplicationCheck replicationCheck;
  private Step step = Step.STEADY;
  private long stepStartNanos;

  /** Grows with each step, so that callbacks of earlier steps can be recognized and ignored. */
  private long stepGeneration;

  private boolean plannedChange;

  /** Whether the known positions cover all commits that earlier homes may have acknowledged. */
  private boolean acknowledgedKnown;

  private LogPosition promotedLogEnd = LogPosition.ZERO;
  private long primaryAdoptedNanos;
  private boolean writingRecord;

  /** The server whose last promotion was rejected; it is passed over once. */
  private @Nullable String rejectedServerId;

  private @Nullable ServerEvidence evidence;

  PrimarySupervisor(
      HomeElection election, HomeElection.Context context, GroupPool pool, long nowNanos) {
    this.election = election;
    this.context = context;
    this.pool = pool;
    this.startNanos = nowNanos;
    this.replicationCheck = new ReplicationCheck(context.scheduler(), statuses, this::queryStatus);
    this.exclusion = new HomeExclusion(election, context, this::proceedIfExclusive);
    HomeRecord r = election.record();
    this.acknowledgedKnown = r != null && r.priorHomes().isEmpty() && r.epoch() == 1;
  }

  /** Returns whether a primary leads the group and no change of it is in progress. */
  boolean isSteady() {
    HomeRecord r = election.record();
    return step == Step.STEADY
        && !writingRecord
        && r != null
        && r.primaryId() != null
        && r.promoting() == null;
  }

  /**
   * Stops the supervision because this instance no longer serves as the home. Pending callbacks
   * have no effect.
   */
  void stop() {
    enter(Step.ENDED);
  }

  /**
   * Applies a server's status: adopts a newly found primary, demotes a primary of an earlier term,
   * replaces the recorded primary if it is a replica now, and unseals replicas.
   *
   * @param askedNanos time at which the status was requested
   */
  void onServerStatus(String serverId, ServerStatus status, long askedNanos) {
    statuses.put(serverId, status);
    statusAskedNanos.put(serverId, askedNanos);
    HomeRecord r = election.record();
    if (r == null || step == Step.ENDED) {
      return;
    }
    boolean recorded = serverId.equals(r.primaryId());
    if (status.primary()
        && (status.term() > r.term()
            || (recorded && r.term() == 0)
            || hasReplacedPrimary(serverId, status, r))) {
      adopt(serverId, status.term());
    } else if (status.primary() && !recorded && status.term() < r.term()) {
      pool.sendCommand(serverId, new ServerCommand.StepDown(r.term()), ignoreAnswer());
    } else if (recorded && !status.primary() && step == Step.STEADY) {
      election.log("primary-denies").with("server", serverId).with("term", status.term()).write();
      startChange(false, "server " + serverId + " is a replica now");
    } else if (step == Step.STEADY && status.sealedTerm() > 0 && !status.primary()) {
      election
          .log("replica-resumed")
          .with("server", serverId)
          .with("sealed_term", status.sealedTerm())
          .with("promoting", r.promoting())
          .with("prior_homes", r.priorHomes().size())
          .write();
      pool.sendCommand(serverId, new ServerCommand.ResumeReceiving(), ignoreAnswer());
    }
  }

  /**
   * Returns whether a server leads the recorded term in place of the unreachable recorded primary,
   * as a new process with the same log does. Returns false while another server may be promoted.
   */
  private boolean hasReplacedPrimary(String serverId, ServerStatus status, HomeRecord r) {
    String recorded = r.primaryId();
    if (recorded == null || recorded.equals(serverId) || pool.canReach(recorded)) {
      return false;
    }
    boolean otherMayBePromoted =
        r.promoting() == null ? step == Step.PROMOTING : !r.promoting().equals(serverId);
    return !otherMayBePromoted && status.primary() && status.term() == r.term();
  }

  /** Checks the status of the primary, which refused a statement because it is not the primary. */
  void onPrimaryRoleRefused(String serverId) {
    HomeRecord r = election.record();
    if (step == Step.STEADY && r != null && serverId.equals(r.primaryId())) {
      queryStatus(serverId, () -> {});
    }
  }

  void onServerLost(String serverId, ServerLoss loss) {
    statuses.remove(serverId);
    HomeRecord r = election.record();
    if (r == null || step != Step.STEADY || !serverId.equals(r.primaryId())) {
      return;
    }
    BackendServer server = findServer(serverId);
    if (server == null || loss.isCertain()) {
      startChange(false, "primary " + serverId + ": " + loss);
      return;
    }
    enter(Step.ASKING);
    long generation = stepGeneration;
    requestEvidence(server)
        .whenDone(
            findings -> {
              if (generation == stepGeneration && step == Step.ASKING) {
                evaluateEvidence(serverId, loss, findings);
              }
            });
  }

  /** Requests evidence about an unresponsive primary early, in case it is lost. */
  void onServerUnresponsive(String serverId) {
    HomeRecord r = election.record();
    BackendServer server = findServer(serverId);
    if (r != null && step == Step.STEADY && serverId.equals(r.primaryId()) && server != null) {
      requestEvidence(server);
    }
  }

  /** Returns recent evidence about a server, or asks other instances if there is none. */
  private ServerEvidence requestEvidence(BackendServer server) {
    long maximumAge = 2 * context.timings().evidenceTimeout().toNanos();
    ServerEvidence previous = evidence;
    if (previous != null && previous.isFresh(server.id(), now(), maximumAge)) {
      return previous;
    }
    ServerEvidence fresh =
        ServerEvidence.ask(
            context,
            election.candidates(context.self().name()),
            new ServerConnector.Target(server.group(), server.id(), server.address()));
    evidence = fresh;
    return fresh;
  }

  private void evaluateEvidence(
      String serverId, ServerLoss loss, ServerEvidence.Findings findings) {
    evidence = null;
    PeerInstance reachedBy = findings.reachedBy();
    election
        .log("primary-evidence")
        .with("server", serverId)
        .with("reached_by", reachedBy == null ? null : reachedBy.name())
        .with("not_reached_by", findings.notReachedCount())
        .write();
    if (!pool.canReach(serverId)
        && reachedBy == null
        && (findings.notReachedCount() > 0 || findings.noWitnesses())) {
      startChange(false, "primary " + serverId + ": " + loss);
      return;
    }
    enter(Step.STEADY);
    if (!pool.canReach(serverId) && reachedBy != null) {
      context.peerClient().requestTakeover(reachedBy, election.group(), reply -> {});
    }
  }

  void tick() {
    HomeRecord r = election.record();
    if (r == null) {
      return;
    }
    exclusion.endPriorHomes(r);
    long stepMillis = (now() - stepStartNanos) / 1_000_000;
    switch (step) {
      case STEADY -> checkSteady(r);
      case ASKING -> {
        if (stepMillis > 2 * context.timings().evidenceTimeout().toMillis()) {
          enter(Step.STEADY);
        }
      }
      case EXCLUDING -> {
        exclusion.stopPriorHomes(r);
        exclusion.stopSuccessor(r, stepMillis);
        proceedIfExclusive();
      }
      case QUIESCING -> continueQuiescing(r, stepMillis);
      case SEALING -> {
        if (stepMillis > context.timings().sealTimeout().toMillis()) {
          choosePromotion(r);
        }
      }
      case PROMOTING -> {
        if (stepMillis > context.timings().promotionTimeout().toMillis()) {
          scheduleRetry("the promoted server did not lead in time");
        }
      }
      default -> {
        // PAUSING ends by a timer, and nothing follows ENDED.
      }
    }
  }

  private void checkSteady(HomeRecord r) {
    String primary = r.primaryId();
    if (primary == null) {
      findFirstPrimary();
      return;
    }
    if (writingRecord) {
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
    BackendServer server = findServer(primary);
    boolean hasOtherCandidate = election.servers().stream().anyMatch(s -> isCandidate(s, primary));
    if (!hasOtherCandidate) {
      return;
    }
    if (server == null) {
      if (now() - startNanos > Duration.ofSeconds(3).toNanos()) {
        startChange(pool.canReach(primary), "primary " + primary + " is no longer registered");
      }
    } else if (server.draining()) {
      startChange(true, "primary " + primary + " is draining");
    } else if (!pool.canReach(primary)
        && now() - startNanos > Duration.ofSeconds(1).toNanos()
        && !statuses.containsKey(primary)) {
      onServerLost(primary, ServerLoss.SILENT);
    } else if (pool.oldestPendingCommitMillis() > MAX_UNCONFIRMED_MILLIS
        && now() - primaryAdoptedNanos > SETTLING_TIME.toNanos()
        && election.isRecentlyConfirmed()) {
      replicationCheck.start(
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

  /** Records a server as the primary and ends the change of primary, if one is in progress. */
  private void adopt(String serverId, long term) {
    HomeRecord r = election.record();
    if (step == Step.ENDED
        || writingRecord
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
      pool.raiseAcknowledged(promotedLogEnd);
      acknowledgedKnown = true;
    }
    primaryAdoptedNanos = now();
    rejectedServerId = null;
    writingRecord = true;
    exclusion.onNewRecord(r);
    election.write(
        r.withPrimary(serverId, term, exclusion.havePriorHomesStopped(r), context.ids().next()),
        revision -> writingRecord = false,
        () -> writingRecord = false);
  }

  /**
   * Starts to replace the primary.
   *
   * @param isPlanned whether the primary works, so that running work may finish first
   */
  private void startChange(boolean isPlanned, String reason) {
    if (step != Step.STEADY && step != Step.ASKING) {
      return;
    }
    election.log("primary-change").with("planned", isPlanned).with("reason", reason).write();
    plannedChange = isPlanned;
    pool.setPrimaryHalt(PrimaryHalt.WRITES);
    enter(Step.EXCLUDING);
    HomeRecord r = election.record();
    if (r != null) {
      refreshPrimaryStatus(r.primaryId());
      exclusion.stopPriorHomes(r);
      exclusion.stopSuccessor(r, 0);
      proceedIfExclusive();
    }
  }

  private void proceedIfExclusive() {
    HomeRecord r = election.record();
    if (step == Step.EXCLUDING && r != null && exclusion.isExclusive(r)) {
      quiesceOrSeal();
    }
  }

  private void quiesceOrSeal() {
    if (plannedChange) {
      enter(Step.QUIESCING);
    } else {
      seal();
    }
  }

  private void continueQuiescing(HomeRecord r, long waitedMillis) {
    String primary = r.primaryId();
    ServerStatus primaryStatus = primary == null ? null : statuses.get(primary);
    boolean idle = pool.primaryConnectionsInUse() == 0;
    if (!idle && waitedMillis < context.timings().quiesceLimit().toMillis()) {
      return;
    }
    if (primaryStatus == null || waitedMillis > 2 * context.timings().quiesceLimit().toMillis()) {
      seal();
      return;
    }
    long generation = stepGeneration;
    boolean sent =
        pool.sendCommand(
            primary == null ? "" : primary,
            new ServerCommand.Status(),
            statusHandler(
                primary == null ? "" : primary,
                () -> {
                  if (generation == stepGeneration && step == Step.QUIESCING) {
                    seal();
                  }
                }));
    if (!sent) {
      seal();
    }
  }

  /**
   * Stops the replicas from receiving log and reads the ends of their logs. Chooses one of them
   * once all have answered.
   */
  private void seal() {
    enter(Step.SEALING);
    HomeRecord r = election.record();
    if (r == null) {
      return;
    }
    long sealTerm = r.term() + 1;
    long generation = stepGeneration;
    List<String> pendingReplicas = new ArrayList<>();
    for (BackendServer s : election.servers()) {
      if (!s.id().equals(r.primaryId())) {
        pendingReplicas.add(s.id());
      }
    }
    List<String> replicas = List.copyOf(pendingReplicas);
    for (String id : replicas) {
      statuses.remove(id);
      Runnable next =
          () -> {
            pendingReplicas.remove(id);
            if (pendingReplicas.isEmpty() && generation == stepGeneration && step == Step.SEALING) {
              choosePromotion(r);
            }
          };
      if (!pool.sendCommand(
          id, new ServerCommand.StopReceiving(sealTerm), statusHandler(id, next))) {
        election.log("replica-not-sealed").with("server", id).write();
      }
    }
  }

  /**
   * Chooses a server to promote, or the one that leads already, by the replicas' logs.
   *
   * @param before the record for which the replicas were sealed; nothing is done if the home has
   *     changed since
   */
  private void choosePromotion(HomeRecord before) {
    HomeRecord r = election.record();
    if (r == null || r.epoch() != before.epoch()) {
      return;
    }
    LogPosition acknowledged = pool.acknowledged().max(exclusion.acknowledged());
    ServerStatus oldPrimaryStatus = r.primaryId() == null ? null : statuses.get(r.primaryId());
    PromotionChoice choice =
        PromotionChoice.choose(
            election.servers(),
            statuses,
            r.primaryId(),
            r.term(),
            acknowledgedKnown ? acknowledged : null,
            plannedChange || oldPrimaryStatus == null
                ? null
                : oldPrimaryStatus.received().max(acknowledged));
    logChoice(choice, r, acknowledged);
    if (choice instanceof PromotionChoice.Leads leads) {
      adopt(leads.serverId(), leads.term());
    } else if (choice instanceof PromotionChoice.Promote promote
        && !promote.server().id().equals(rejectedServerId)) {
      promote(r, promote.server(), promote.received());
    } else {
      rejectedServerId = null;
      scheduleRetry(
          choice instanceof PromotionChoice.Wait wait
              ? wait.reason()
              : "the promotion of the chosen server was rejected before");
    }
  }

  /** Logs a choice with all that it rests on. */
  private void logChoice(PromotionChoice choice, HomeRecord r, LogPosition acknowledged) {
    StringBuilder servers = new StringBuilder();
    for (BackendServer s : election.servers()) {
      servers.append(servers.isEmpty() ? "" : ", ").append(s.id()).append(' ');
      ServerStatus status = statuses.get(s.id());
      if (status == null) {
        servers.append("silent");
        continue;
      }
      long ageMillis = (now() - statusAskedNanos.getOrDefault(s.id(), startNanos)) / 1_000_000;
      servers
          .append(status.primary() ? "primary" : "replica")
          .append(" at ")
          .append(status.received())
          .append(" sealed ")
          .append(status.sealedTerm())
          .append(" asked ")
          .append(ageMillis)
          .append(" ms ago");
    }
    election
        .log("promotion-choice")
        .with("choice", choice)
        .with("primary", r.primaryId())
        .with("term", r.term())
        .with("acknowledged", acknowledged)
        .with("acknowledged_known", Boolean.toString(acknowledgedKnown))
        .with("servers", servers)
        .write();
  }

  private void promote(HomeRecord r, BackendServer target, LogPosition received) {
    enter(Step.PROMOTING);
    promotedLogEnd = received;
    long generation = stepGeneration;
    election
        .log("promoting")
        .with("server", target.id())
        .with("received", received)
        .with("term", r.term())
        .write();
    election.write(
        r.withPromotion(target.id(), context.ids().next()),
        revision -> {
          if (generation == stepGeneration && step == Step.PROMOTING) {
            requestPromotion(target.id(), revision, generation);
          }
        },
        () -> {
          if (generation == stepGeneration) {
            scheduleRetry("the record could not be written");
          }
        });
  }

  private void requestPromotion(String target, long token, long generation) {
    if (generation != stepGeneration || step != Step.PROMOTING || !election.mayWork(now())) {
      return;
    }
    pool.setPrimaryHalt(PrimaryHalt.EVERYTHING);
    election.log("promotion-call").with("server", target).with("token", token).write();
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
              if (generation != stepGeneration || step != Step.PROMOTING) {
                return;
              }
              if (outcome == Promoter.Outcome.REJECTED) {
                rejectedServerId = target;
                scheduleRetry("server " + target + " cannot be promoted");
              } else if (outcome == Promoter.Outcome.UNKNOWN) {
                context
                    .scheduler()
                    .schedule(RETRY_DELAY, () -> requestPromotion(target, token, generation));
              } else {
                pollPromotedServer(target, generation);
              }
            });
  }

  private void pollPromotedServer(String target, long generation) {
    if (generation != stepGeneration || step != Step.PROMOTING) {
      return;
    }
    queryStatus(target, () -> {});
    context
        .scheduler()
        .schedule(PROMOTION_POLL_INTERVAL, () -> pollPromotedServer(target, generation));
  }

  /** Restarts the change of primary after a delay, unless the recorded primary leads again. */
  private void scheduleRetry(String reason) {
    election.log("promotion-restarted").with("reason", reason).write();
    enter(Step.PAUSING);
    long generation = stepGeneration;
    plannedChange = false;
    context
        .scheduler()
        .schedule(
            RETRY_DELAY,
            () -> {
              HomeRecord r = election.record();
              if (generation != stepGeneration || r == null) {
                return;
              }
              String primary = r.primaryId();
              ServerStatus status = primary == null ? null : statuses.get(primary);
              BackendServer server = primary == null ? null : findServer(primary);
              boolean leads = status != null && status.primary() && status.term() == r.term();
              if (leads && server != null && !server.draining() && r.promoting() == null) {
                election.log("primary-returned").with("server", primary).write();
                enter(Step.STEADY);
                pool.setPrimaryHalt(PrimaryHalt.NOTHING);
              } else {
                enter(Step.EXCLUDING);
              }
            });
  }

  /**
   * Discards the primary's status and queries it again, since the old status dates from before its
   * writes were held back.
   */
  private void refreshPrimaryStatus(@Nullable String primaryId) {
    if (primaryId != null && !plannedChange) {
      statuses.remove(primaryId);
      queryStatus(primaryId, () -> {});
    }
  }

  private void queryStatus(String serverId, Runnable next) {
    pool.sendCommand(serverId, new ServerCommand.Status(), statusHandler(serverId, next));
  }

  private ServerLink.AnswerHandler statusHandler(String serverId, Runnable next) {
    long askedNanos = now();
    return new ServerLink.AnswerHandler() {
      @Override
      public void onAnswer(Answer answer) {
        ServerStatus status = answer.status();
        if (status != null) {
          onServerStatus(serverId, status, askedNanos);
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

  private static ServerLink.AnswerHandler ignoreAnswer() {
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

  private @Nullable BackendServer findServer(String id) {
    return election.servers().stream().filter(s -> s.id().equals(id)).findFirst().orElse(null);
  }

  private void enter(Step next) {
    step = next;
    stepStartNanos = now();
    stepGeneration++;
  }

  private long now() {
    return context.scheduler().nanoTime();
  }
}

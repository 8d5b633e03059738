package org.chicorylane.internal.election;

import java.time.Duration;
import java.util.HashMap;
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

  /** Delay before a server that did not answer with its status is asked again. */
  private static final Duration SEAL_RETRY_DELAY = Duration.ofMillis(40);

  /** Time allowed at the start for all servers to report, so that the latest primary is found. */
  private static final Duration FIRST_REPORTS_TIMEOUT = Duration.ofMillis(500);

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
  private final HomeExclusion exclusion;
  private final ReplicationCheck replicationCheck;
  private final DrainReplacement drainReplacement;
  private final LogReports reports = new LogReports();
  private final PromotionOrders orders = new PromotionOrders();
  private Step step = Step.STEADY;
  private long stepStartNanos;

  /** Grows with each step, so that callbacks of earlier steps can be recognized and ignored. */
  private long stepGeneration;

  private boolean plannedChange;

  /**
   * A position that no commit acknowledged by an earlier home exceeds: the end of the primary's log
   * after all of them were excluded. Null until it is known.
   */
  private @Nullable LogPosition inheritedBound;

  /** Time at which all earlier homes were found excluded; 0 before that. */
  private long excludedNanos;

  /** Era of the store in which that was found. */
  private long boundEra;

  /** The log end of the server that was chosen; null if its promotion is only repeated. */
  private @Nullable LogPosition promotedLogEnd;

  private @Nullable String promotedServerId;
  private long primaryAdoptedNanos;
  private boolean writingRecord;
  private boolean writingMembers;

  /** Whether writes are held back from a draining primary, because no replica confirms them. */
  private boolean holdsUnconfirmedWrites;

  /** Whether a write that names a server to promote may still be applied to the record. */
  private boolean promotionUnsettled;

  /** The server whose last promotion was rejected; it is passed over once. */
  private @Nullable String rejectedServerId;

  private @Nullable ServerEvidence evidence;

  PrimarySupervisor(
      HomeElection election, HomeElection.Context context, GroupPool pool, long nowNanos) {
    this.election = election;
    this.context = context;
    this.pool = pool;
    this.startNanos = nowNanos;
    this.boundEra = context.store().era();
    this.replicationCheck = new ReplicationCheck(context.scheduler(), statuses, this::queryStatus);
    this.drainReplacement =
        new DrainReplacement(
            context.scheduler(),
            context.drainLimit(),
            new CatchUpCheck(context.scheduler(), statuses, this::queryStatus));
    this.exclusion = new HomeExclusion(election, context, this::proceedIfExclusive);
  }

  /** Continues the promotion that an earlier home left pending, if there is one. */
  void start() {
    HomeRecord r = election.record();
    if (r != null && r.promoting() != null) {
      orders.inherit(r.promoting(), waitNow());
      startChange(false, "an earlier home was promoting " + r.promoting());
    } else if (r != null && r.outstanding() != null) {
      orders.inheritOutstanding(r.outstanding(), waitNow());
    }
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

  /** Returns whether a promotion that was ordered here may still be on its way. */
  boolean isPromotionUnanswered() {
    return orders.isUnanswered(waitNow());
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
    reports.add(serverId, status, askedNanos);
    HomeRecord r = election.record();
    if (r == null || step == Step.ENDED) {
      return;
    }
    boolean recorded = serverId.equals(r.primaryId());
    if (recorded && status.primary() && status.term() == r.term()) {
      learnInheritedBound(status, askedNanos);
    }
    if (status.primary()
        && (status.term() > r.term()
            || (recorded && r.term() == 0)
            || hasReplacedPrimary(serverId, status, r))) {
      adopt(serverId, status.term());
    } else if (status.primary() && !recorded && status.term() < r.term()) {
      pool.sendCommand(serverId, new ServerCommand.StepDown(r.term()), ignoreAnswer());
    } else if (step == Step.SEALING && reports.isReplaced(status)) {
      pool.sendCommand(serverId, new ServerCommand.StepDown(reports.newestTerm()), ignoreAnswer());
    } else if (recorded && !status.primary() && step == Step.STEADY && !writingRecord) {
      election.log("primary-denies").with("server", serverId).with("term", status.term()).write();
      startChange(false, "server " + serverId + " is a replica now");
    } else if (status.sealedTerm() > 0 && !status.primary() && mayResumeReplicas(r)) {
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
   * Returns whether no promotion needs the replicas to stay sealed: this home orders none, and no
   * other home can, since it would have recorded it before.
   */
  private boolean mayResumeReplicas(HomeRecord r) {
    return step == Step.STEADY && r.promoting() == null && election.mayWork(now());
  }

  private void learnInheritedBound(ServerStatus primary, long askedNanos) {
    if (inheritedBound == null && excludedNanos != 0 && askedNanos >= excludedNanos) {
      inheritedBound = primary.received();
      exclusion.forgetRemovedSuccessors();
      election.log("acknowledged-bound").with("position", primary.received()).write();
    }
  }

  /** Forgets the bound after a restore of the store, which may have forgotten a later home. */
  private void forgetBoundOfEarlierEra() {
    long era = context.store().era();
    if (era != boundEra) {
      boundEra = era;
      inheritedBound = null;
      excludedNanos = 0;
    }
  }

  /** Requests the end of the primary's log once all earlier homes are excluded. */
  private void queryInheritedBound(HomeRecord r, String primary) {
    if (!exclusion.havePriorHomesStopped(r)) {
      return;
    }
    orders.onSenderExcluded(waitNow());
    if (inheritedBound != null && !exclusion.areRemovedSuccessorsAccounted()) {
      inheritedBound = null;
      excludedNanos = 0;
    }
    if (inheritedBound == null && excludedNanos == 0) {
      excludedNanos = now();
      queryStatus(primary, () -> {});
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
    reports.remove(serverId);
    HomeRecord r = election.record();
    if (r == null || writingRecord || step != Step.STEADY || !serverId.equals(r.primaryId())) {
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
    boolean isConfirmed =
        findings.notReachedCount() > 0 || findings.noWitnesses() || !loss.needsWitness();
    if (!pool.canReach(serverId) && reachedBy == null && isConfirmed) {
      startChange(false, "primary " + serverId + ": " + loss);
      return;
    }
    enter(Step.STEADY);
    if (!pool.canReach(serverId) && reachedBy != null) {
      context.peerClient().requestTakeover(reachedBy, election.group(), reply -> {});
    }
  }

  /** Returns whether no earlier home of the group can still run statements. */
  boolean havePriorHomesStopped() {
    HomeRecord r = election.record();
    return r != null && exclusion.havePriorHomesStopped(r);
  }

  void tick() {
    HomeRecord r = election.record();
    if (r == null) {
      return;
    }
    forgetBoundOfEarlierEra();
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
        if (r.promoting() != null) {
          queryStatus(r.promoting(), () -> {});
        }
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
    if (r.promoting() != null) {
      orders.inherit(r.promoting(), waitNow());
      startChange(false, "the promotion of " + r.promoting() + " is pending");
      return;
    }
    queryInheritedBound(r, primary);
    recordMembers(r);
    BackendServer server = findServer(primary);
    if (server != null && server.draining()) {
      if (replaceIfDue(server)) {
        return;
      }
    } else {
      releaseWrites();
      if (election.servers().stream().noneMatch(s -> isCandidate(s, primary))) {
        return;
      }
    }
    if (server == null) {
      if (now() - startNanos > Duration.ofSeconds(3).toNanos()) {
        startChange(pool.canReach(primary), "primary " + primary + " is no longer registered");
      }
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

  /**
   * Starts to replace a draining primary if that is due, and returns whether it did. Until then the
   * primary serves, without writes while no replica confirms them.
   */
  private boolean replaceIfDue(BackendServer primary) {
    boolean isDue = drainReplacement.isDue(primary, election.servers());
    if (isDue && election.isRecentlyConfirmed() && mayStartPlannedChange()) {
      drainReplacement.onStarted();
      startChange(true, "primary " + primary.id() + " is draining");
      return true;
    }
    boolean isCommitOverdue = pool.oldestPendingCommitMillis() > MAX_UNCONFIRMED_MILLIS;
    boolean confirms =
        drainReplacement.confirmsCommits(primary, election.servers(), isCommitOverdue);
    holdsUnconfirmedWrites = !confirms;
    pool.setPrimaryHalt(confirms ? PrimaryHalt.NOTHING : PrimaryHalt.WRITES);
    return false;
  }

  /** Lets a primary that does not drain any more take the writes that were held back. */
  private void releaseWrites() {
    if (holdsUnconfirmedWrites) {
      holdsUnconfirmedWrites = false;
      pool.setPrimaryHalt(PrimaryHalt.NOTHING);
    }
  }

  /** Records servers that joined, so that a later home knows of them even without an entry. */
  private void recordMembers(HomeRecord r) {
    Map<String, String> members = election.members().all(waitNow());
    String outstanding = orders.outstanding(waitNow());
    boolean forgetsOrder = r.outstanding() != null && outstanding == null;
    if (!writingMembers
        && (!r.members().keySet().containsAll(members.keySet()) || forgetsOrder)
        && election.isRecentlyConfirmed()) {
      writingMembers = true;
      election.write(
          r.withMembers(members, outstanding, context.ids().next()),
          revision -> writingMembers = false,
          () -> writingMembers = false);
    }
  }

  private void findFirstPrimary() {
    boolean allKnown = election.servers().stream().allMatch(s -> statuses.containsKey(s.id()));
    if (!allKnown && now() - startNanos < FIRST_REPORTS_TIMEOUT.toNanos()) {
      return;
    }
    String latest = null;
    long latestTerm = -1;
    for (BackendServer s : election.servers()) {
      ServerStatus status = statuses.get(s.id());
      if (status != null && status.primary() && status.term() > latestTerm) {
        latest = s.id();
        latestTerm = status.term();
      }
    }
    if (latest != null) {
      adopt(latest, latestTerm);
    } else if (allKnown && !election.servers().isEmpty()) {
      startChange(false, "no server of the group is a primary");
    }
  }

  /** Records a server as the primary and ends the change of primary, if one is in progress. */
  private void adopt(String serverId, long term) {
    HomeRecord r = election.record();
    if (step == Step.ENDED
        || writingRecord
        || r == null
        || (r.term() == term && serverId.equals(r.primaryId()))
        || !orders.permits(serverId, waitNow())
        || (step == Step.PROMOTING && !serverId.equals(promotedServerId))) {
      return;
    }
    boolean otherIsRecorded = r.promoting() != null && !r.promoting().equals(serverId);
    if (!otherIsRecorded && !promotionUnsettled) {
      use(serverId, term, r);
      writePrimary(serverId, term, r, () -> {});
    } else if (exclusion.isExclusive(r)) {
      // A later home repeats the recorded promotion, so the record has to change first.
      writePrimary(serverId, term, r, () -> use(serverId, term, r));
    }
  }

  /** Uses a server as the primary from now on. */
  private void use(String serverId, long term, HomeRecord before) {
    if (step == Step.ENDED) {
      return;
    }
    election.log("primary").with("server", serverId).with("term", term).with("step", step).write();
    final boolean promoted = step == Step.PROMOTING && term > before.term();
    enter(Step.STEADY);
    pool.setPrimaryHalt(PrimaryHalt.NOTHING);
    pool.setPrimary(serverId, term);
    orders.onNewPrimary(serverId);
    if (promoted) {
      learnBoundOfPromoted(promotedLogEnd);
    }
    primaryAdoptedNanos = now();
    rejectedServerId = null;
  }

  private void learnBoundOfPromoted(@Nullable LogPosition logEnd) {
    inheritedBound = logEnd;
    if (logEnd == null) {
      excludedNanos = 0;
    } else {
      pool.raiseAcknowledged(logEnd);
      exclusion.forgetRemovedSuccessors();
    }
  }

  private void writePrimary(String serverId, long term, HomeRecord before, Runnable onWritten) {
    writingRecord = true;
    exclusion.onNewRecord(before);
    election.write(
        before.withPrimary(
            serverId,
            term,
            exclusion.havePriorHomesStopped(before),
            election.members().all(waitNow()),
            orders.outstanding(waitNow()),
            context.ids().next()),
        revision -> {
          writingRecord = false;
          promotionUnsettled = false;
          onWritten.run();
          // A replaced primary that is back steps down on its answer, and then confirms commits.
          queryOthers(serverId);
        },
        () -> {
          writingRecord = false;
          if (step == Step.SEALING) {
            scheduleRetry("the record could not be written");
          }
        });
  }

  /**
   * Returns whether a primary that works may be replaced now. A change would have to wait for
   * earlier eras and orders to end, and would hold writes back meanwhile.
   */
  private boolean mayStartPlannedChange() {
    return election.areEarlierErasOver() && orders.outstanding(waitNow()) == null;
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
    if (isPlanned && !mayStartPlannedChange()) {
      return;
    }
    election.log("primary-change").with("planned", isPlanned).with("reason", reason).write();
    plannedChange = isPlanned;
    enter(Step.EXCLUDING);
    HomeRecord r = election.record();
    if (r != null) {
      if (mayHaveOtherPrimary(r)) {
        pool.setPrimaryHalt(PrimaryHalt.EVERYTHING);
      } else if (!isPlanned) {
        pool.setPrimaryHalt(PrimaryHalt.WRITES);
      }
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
      pool.setPrimaryHalt(PrimaryHalt.WRITES);
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
   * Stops the replicas from receiving log and reads the ends of all logs. Chooses a server once all
   * that can be reached have answered. All other homes are excluded by now, so the reports cover
   * what these have acknowledged.
   */
  private void seal() {
    enter(Step.SEALING);
    HomeRecord r = election.record();
    if (r == null) {
      return;
    }
    orders.onSenderExcluded(waitNow());
    election.haltPrimary(mayHaveOtherPrimary(r) ? PrimaryHalt.EVERYTHING : PrimaryHalt.COMMITS);
    reports.start(latestTerm(r), now());
    election.servers().forEach(s -> requestReport(s.id(), r, stepGeneration));
  }

  /**
   * Returns the command that seals a server and has it report. The recorded primary is asked for
   * its status only, unless it has said that it is a replica or another server may lead already.
   */
  private ServerCommand reportCommand(String serverId, HomeRecord r) {
    ServerStatus status = statuses.get(serverId);
    boolean mayLead = status == null || status.primary();
    boolean isPrimary = serverId.equals(r.primaryId()) && r.promoting() == null && mayLead;
    return isPrimary
        ? new ServerCommand.Status()
        : new ServerCommand.StopReceiving(reports.sealTerm());
  }

  /** Returns whether another server than the recorded primary may lead already. */
  private boolean mayHaveOtherPrimary(HomeRecord r) {
    PromotionOrders.State order = orders.state(waitNow());
    boolean mayOrderedLead =
        order != null && !order.expired() && !order.serverId().equals(r.primaryId());
    return r.promoting() != null || mayOrderedLead;
  }

  private long latestTerm(HomeRecord r) {
    return statuses.values().stream().mapToLong(ServerStatus::term).reduce(r.term(), Math::max);
  }

  /**
   * Asks a server for its report until it has given one that counts or the attempt ends. A primary
   * that was replaced is told to step down, and sealed afterwards.
   */
  private void requestReport(String serverId, HomeRecord before, long generation) {
    if (generation != stepGeneration || step != Step.SEALING) {
      return;
    }
    boolean sent =
        pool.sendCommand(
            serverId,
            reportCommand(serverId, before),
            statusHandler(
                serverId,
                () -> {
                  if (reports.find(serverId) == null) {
                    context
                        .scheduler()
                        .schedule(
                            SEAL_RETRY_DELAY, () -> requestReport(serverId, before, generation));
                  }
                  if (generation == stepGeneration && step == Step.SEALING && haveAllReported()) {
                    choosePromotion(before);
                  }
                }));
    if (!sent) {
      election.log("report-not-requested").with("server", serverId).write();
    }
  }

  /** Returns whether each server that can be reached has reported. */
  private boolean haveAllReported() {
    return election.servers().stream()
        .allMatch(s -> reports.find(s.id()) != null || !pool.canReach(s.id()));
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
    forgetBoundOfEarlierEra();
    LogPosition acknowledged = election.acknowledged().max(exclusion.acknowledged());
    LogPosition inherited = exclusion.isSuccessorAccounted(r) ? inheritedBound : null;
    PromotionChoice.Basis basis =
        new PromotionChoice.Basis(
            election.servers(),
            election.members().missing(waitNow()),
            reports,
            r.primaryId(),
            r.term(),
            inherited == null ? null : inherited.max(acknowledged),
            acknowledged,
            election.leastAcknowledged(),
            orders.state(waitNow()));
    PromotionChoice choice = PromotionChoice.choose(basis);
    logChoice(choice, basis);
    if (choice instanceof PromotionChoice.Leads leads) {
      adopt(leads.serverId(), leads.term());
      if (step == Step.SEALING && !writingRecord) {
        scheduleRetry("server " + leads.serverId() + " leads and cannot be used yet");
      }
    } else if (choice instanceof PromotionChoice.Promote promote
        && !promote.server().id().equals(rejectedServerId)) {
      logLostCommits(promote, basis);
      promote(r, promote.server(), promote.received());
    } else if (choice instanceof PromotionChoice.Repeat repeat) {
      enter(Step.PROMOTING);
      promotedServerId = repeat.serverId();
      promotedLogEnd = null;
      election.haltPrimary(PrimaryHalt.EVERYTHING);
      orders.onRepeat();
      requestPromotion(repeat.serverId(), election.revision(), stepGeneration);
    } else {
      if (choice instanceof PromotionChoice.CatchUp) {
        resumeReplicas(basis);
      }
      handOverToInstanceReachingOrdered();
      rejectedServerId = null;
      scheduleRetry(reasonToRetry(choice));
    }
  }

  private static String reasonToRetry(PromotionChoice choice) {
    if (choice instanceof PromotionChoice.Wait wait) {
      return wait.reason();
    }
    return choice instanceof PromotionChoice.CatchUp catchUp
        ? "no replica holds the log of server " + catchUp.leaderId()
        : "the promotion of the chosen server was rejected before";
  }

  /** Asks an instance that reaches the server whose promotion is pending to become the home. */
  private void handOverToInstanceReachingOrdered() {
    PromotionOrders.State order = orders.state(waitNow());
    BackendServer server = order == null ? null : findServer(order.serverId());
    if (server == null || pool.canReach(server.id())) {
      return;
    }
    requestEvidence(server)
        .whenDone(
            findings -> {
              PeerInstance peer = findings.reachedBy();
              if (peer != null && step != Step.ENDED && !pool.canReach(server.id())) {
                context.peerClient().requestTakeover(peer, election.group(), reply -> {});
              }
            });
  }

  /** Lets the sealed replicas receive until the next attempt; nothing is acknowledged meanwhile. */
  private void resumeReplicas(PromotionChoice.Basis basis) {
    for (BackendServer s : basis.servers()) {
      ServerStatus status = basis.reportOf(s);
      if (status != null && !status.primary()) {
        pool.sendCommand(s.id(), new ServerCommand.ResumeReceiving(), ignoreAnswer());
      }
    }
  }

  /** Tells operators that no server holds a commit any more that was acknowledged here. */
  private void logLostCommits(PromotionChoice.Promote choice, PromotionChoice.Basis basis) {
    if (choice.received().compareTo(basis.leastAcknowledged()) < 0) {
      election
          .log("acknowledged-commits-lost")
          .with("server", choice.server().id())
          .with("received", choice.received())
          .with("acknowledged", basis.leastAcknowledged())
          .write();
    }
  }

  /** Logs a choice with all that it rests on. */
  private void logChoice(PromotionChoice choice, PromotionChoice.Basis basis) {
    election
        .log("promotion-choice")
        .with("choice", choice)
        .with("primary", basis.primaryId())
        .with("term", basis.term())
        .with("bound", basis.bound())
        .with("acknowledged", basis.acknowledged())
        .with("least_acknowledged", basis.leastAcknowledged())
        .with("servers", reports.describe(basis.servers(), now()))
        .with("missing", String.join(" ", basis.missing()))
        .with("order", basis.order())
        .write();
  }

  private void promote(HomeRecord r, BackendServer target, LogPosition received) {
    enter(Step.PROMOTING);
    election.haltPrimary(PrimaryHalt.EVERYTHING);
    promotedLogEnd = received;
    promotedServerId = target.id();
    promotionUnsettled = true;
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
          promotionUnsettled = false;
          if (generation == stepGeneration && step == Step.PROMOTING) {
            requestPromotion(target.id(), revision, generation);
          }
        },
        () -> {
          if (generation == stepGeneration) {
            if (r.promoting() == null) {
              pool.setPrimaryHalt(PrimaryHalt.WRITES);
            }
            scheduleRetry("the record could not be written");
          }
        });
  }

  private void requestPromotion(String target, long token, long generation) {
    if (generation != stepGeneration
        || step != Step.PROMOTING
        || !election.mayWork(now())
        || election.isLeaving()) {
      return;
    }
    orders.onSent(target, waitNow());
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
              orders.onOutcome(target, outcome, waitNow());
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
              boolean listed = primary != null && findServer(primary) != null;
              boolean leads = status != null && status.primary() && status.term() == r.term();
              if (leads && listed && r.promoting() == null) {
                returnToPrimary(r);
              } else {
                enter(Step.EXCLUDING);
              }
            });
  }

  /**
   * Uses the recorded primary again. After a write of a promotion without an answer the record is
   * written once more first, so that the earlier write can no longer be applied.
   */
  private void returnToPrimary(HomeRecord r) {
    long generation = stepGeneration;
    Runnable resume =
        () -> {
          if (generation == stepGeneration) {
            election.log("primary-returned").with("server", r.primaryId()).write();
            enter(Step.STEADY);
            pool.setPrimaryHalt(PrimaryHalt.NOTHING);
            // The answers of sealed replicas make them receive again.
            election.servers().forEach(s -> queryStatus(s.id(), () -> {}));
          }
        };
    if (!promotionUnsettled) {
      resume.run();
      return;
    }
    election.write(
        r.withMembers(election.members().all(waitNow()), r.outstanding(), context.ids().next()),
        revision -> {
          promotionUnsettled = false;
          resume.run();
        },
        () -> {
          if (generation == stepGeneration) {
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

  /** Requests the status of all servers but one. */
  private void queryOthers(String serverId) {
    election.servers().stream()
        .filter(s -> !s.id().equals(serverId))
        .forEach(s -> queryStatus(s.id(), () -> {}));
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

  /** Returns the time by which the end of what others hold is waited for. */
  private long waitNow() {
    return context.scheduler().waitNanoTime();
  }
}

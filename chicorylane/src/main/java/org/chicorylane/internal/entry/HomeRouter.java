package org.chicorylane.internal.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.chicorylane.internal.election.HomeElection;
import org.chicorylane.internal.election.HomeRecord;
import org.chicorylane.internal.mesh.MeshMessages;
import org.chicorylane.internal.mesh.PeerLink;
import org.chicorylane.internal.mesh.generated.MeshAnswer;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.TransactionState;
import org.chicorylane.internal.pool.Work;
import org.chicorylane.internal.pool.WorkHandler;
import org.chicorylane.internal.pool.WorkKind;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * Routes each statement to the home of its database group, on this or another instance. Holds and
 * retries statements while no home is reachable, and reports a statement as in doubt only if it may
 * have run.
 *
 * <p>Confined to the instance's thread.
 */
public final class HomeRouter {

  /** Fraction of its time budget that a statement may wait for a home to be found. */
  private static final double MAXIMUM_HOLD_FRACTION = 0.8;

  /** Statements of a group that has had no home for longer than this are refused, not held. */
  private static final long MAXIMUM_NO_HOME_NANOS = Duration.ofMillis(2_500).toNanos();

  /** Extra time after the budget, during which the home's own refusal should arrive. */
  private static final long ANSWER_SLACK_NANOS = Duration.ofMillis(250).toNanos();

  /** Minimum time between two attempts to route a held statement. */
  private static final Duration ROUTE_INTERVAL = Duration.ofMillis(50);

  /** Maximum number of times that a statement is sent before it is only held. */
  private static final int MAXIMUM_SENDS = 6;

  private final Scheduler scheduler;
  private final DecisionLog log;
  private final Function<String, @Nullable HomeElection> elections;
  private final Function<String, PeerLink> links;
  private final String selfName;
  private final Set<RoutedStatement> held = new LinkedHashSet<>();
  private final Set<RoutedStatement> sent = new LinkedHashSet<>();
  private final Map<String, Long> noHomeSinceNanos = new HashMap<>();

  /**
   * Creates a router.
   *
   * @param elections returns the election of a group, null if the group is not declared
   * @param links returns the link to an address
   * @param selfName this instance's name
   */
  public HomeRouter(
      Scheduler scheduler,
      DecisionLog log,
      Function<String, @Nullable HomeElection> elections,
      Function<String, PeerLink> links,
      String selfName) {
    this.scheduler = scheduler;
    this.log = log;
    this.elections = elections;
    this.links = links;
    this.selfName = selfName;
  }

  /** Returns whether no statement is held or waits for an answer of its home. */
  public boolean isIdle() {
    return held.isEmpty() && sent.isEmpty();
  }

  /**
   * Routes a statement to the home of its group.
   *
   * @param transaction the transaction that the statement belongs to, null if it runs on its own
   * @param inDoubtIfLost whether the outcome is in doubt if the statement was sent but not answered
   * @return the statement, which can be dropped
   */
  Routed submit(
      String group,
      Work work,
      @Nullable RoutedTransaction transaction,
      boolean inDoubtIfLost,
      Consumer<Answer> handler) {
    RoutedStatement routed =
        new RoutedStatement(group, work, transaction, inDoubtIfLost, handler, scheduler.nanoTime());
    route(routed);
    return routed;
  }

  /** A statement that was submitted. */
  interface Routed {

    /**
     * Drops the statement, because its client has left or is told another outcome: it is no longer
     * routed, and its home is told not to send it to a server. A statement that was sent to a
     * server is left to finish. The handler is not called afterwards. Does nothing if the statement
     * was answered.
     */
    void drop();
  }

  /** Abandons a transaction: its home, if any, rolls it back. */
  void abandon(RoutedTransaction transaction) {
    HomeElection election = elections.apply(transaction.group);
    if (transaction.destination == this && election != null) {
      election.abandon(this, transaction.number);
    } else if (transaction.destination instanceof PeerLink link) {
      link.sendAbandon(transaction.group, transaction.number);
    }
  }

  /** Routes the held statements of {@code group} again. */
  public void onHomeChanged(String group) {
    List<RoutedStatement> ready = held.stream().filter(r -> r.group.equals(group)).toList();
    ready.forEach(held::remove);
    ready.forEach(this::route);
  }

  private void route(RoutedStatement r) {
    HomeElection election = elections.apply(r.group);
    HomeRecord record = election == null ? null : election.record();
    RoutedTransaction t = r.transaction;
    Object destination = null;
    if (t != null && !r.work.begins()) {
      destination = t.destination;
      if (destination == null) {
        fail(r, "the transaction's home was lost");
        return;
      }
    } else if (election != null && election.isHome()) {
      destination = this;
    } else if (record != null) {
      HomeRecord.Holder target = target(election, record);
      destination = target.name().equals(selfName) ? null : links.apply(target.address());
    }
    if (destination == null || r.sends >= MAXIMUM_SENDS) {
      hold(r);
      return;
    }
    r.sends++;
    if (t != null) {
      t.destination = destination;
    }
    int waited = (int) ((scheduler.nanoTime() - r.arrivedNanos) / 1_000_000);
    Work work = waited == 0 ? r.work : r.work.afterWaiting(waited);
    sent.add(r);
    r.link = null;
    if (destination == this && election != null) {
      election.submit(this, work, r);
    } else if (destination instanceof PeerLink link) {
      r.link = link;
      r.call = link.sendWork(r.group, work, r);
    }
  }

  /** Returns the home, or its successor if the home is lost and a successor is recorded. */
  private static HomeRecord.Holder target(@Nullable HomeElection election, HomeRecord record) {
    HomeRecord.Holder successor = record.successor();
    boolean lost = election != null && election.isHomeLost();
    return lost && successor != null ? successor : record.home();
  }

  private void hold(RoutedStatement r) {
    long now = scheduler.nanoTime();
    long since = noHomeSinceNanos.computeIfAbsent(r.group, g -> now);
    if (now - since > MAXIMUM_NO_HOME_NANOS) {
      refuse(r, "group " + r.group + " has no home for " + (now - since) / 1_000_000 + " ms");
    } else {
      held.add(r);
    }
  }

  private void onAnswered(RoutedStatement r) {
    noHomeSinceNanos.remove(r.group);
    sent.remove(r);
  }

  /**
   * Routes held statements again, and fails those whose time has run out; called at short
   * intervals.
   */
  public void tick() {
    long now = scheduler.nanoTime();
    for (RoutedStatement r : new ArrayList<>(held)) {
      long waited = now - r.arrivedNanos;
      if (waited > r.work.budgetMillis() * 1e6 * MAXIMUM_HOLD_FRACTION) {
        held.remove(r);
        refuse(r, "no home of group " + r.group + " was reached in time");
      } else if (now - r.lastAttemptNanos > ROUTE_INTERVAL.toNanos()) {
        held.remove(r);
        r.lastAttemptNanos = now;
        route(r);
      }
    }
    for (RoutedStatement r : new ArrayList<>(sent)) {
      if (now - r.arrivedNanos > r.work.budgetMillis() * 1_000_000L + ANSWER_SLACK_NANOS) {
        r.drop();
        fail(r, "the home of group " + r.group + " did not answer in time");
      }
    }
  }

  /** Reports a failure of a statement that may have been run. */
  private void fail(RoutedStatement r, String reason) {
    if (r.inDoubtIfLost) {
      answer(r, Answer.failure(FailureCode.IN_DOUBT, reason, r.stateAfterFailure()));
    } else if (r.transaction != null) {
      abandon(r.transaction);
      answer(r, Answer.failure(FailureCode.ABORTED, reason, r.stateAfterFailure()));
    } else {
      answer(r, Answer.failure(FailureCode.OVERLOADED, reason, TransactionState.IDLE));
    }
  }

  /** Reports a failure of a statement that was certainly not run. */
  private void refuse(RoutedStatement r, String reason) {
    FailureCode code =
        r.transaction != null && !r.work.begins() ? FailureCode.ABORTED : FailureCode.OVERLOADED;
    answer(r, Answer.failure(code, reason + "; retry after 300 ms", r.stateAfterFailure()));
  }

  private void answer(RoutedStatement r, Answer answer) {
    log.event(DecisionLog.Priority.FAILURE, "route")
        .with("request", r.work.requestId())
        .with("group", r.group)
        .with("outcome", answer.failure())
        .with("reason", answer.text())
        .with("sends", r.sends)
        .with("took_ms", (scheduler.nanoTime() - r.arrivedNanos) / 1_000_000)
        .write();
    r.handler.accept(answer);
  }

  /** A statement that is held or waits for an answer of its home. */
  private final class RoutedStatement implements Routed, WorkHandler, PeerLink.WorkResultHandler {
    final String group;
    final Work work;
    final @Nullable RoutedTransaction transaction;
    final boolean inDoubtIfLost;
    final Consumer<Answer> handler;
    final long arrivedNanos;
    long lastAttemptNanos;
    int sends;
    @Nullable PeerLink link;
    long call;

    RoutedStatement(
        String group,
        Work work,
        @Nullable RoutedTransaction transaction,
        boolean inDoubtIfLost,
        Consumer<Answer> handler,
        long arrivedNanos) {
      this.group = group;
      this.work = work;
      this.transaction = transaction;
      this.inDoubtIfLost = inDoubtIfLost;
      this.handler = handler;
      this.arrivedNanos = arrivedNanos;
      this.lastAttemptNanos = arrivedNanos;
    }

    TransactionState stateAfterFailure() {
      return transaction != null && work.kind() != WorkKind.COMMIT
          ? TransactionState.FAILED
          : TransactionState.IDLE;
    }

    @Override
    public void drop() {
      held.remove(this);
      if (!sent.remove(this)) {
        return;
      }
      if (transaction != null) {
        // The home drops the statement with its transaction.
        if (link != null) {
          link.forget(call);
        }
        return;
      }
      HomeElection election = elections.apply(group);
      if (link != null) {
        link.sendAbandonCall(group, call);
      } else if (election != null) {
        election.drop(this);
      }
    }

    @Override
    public void onAnswer(Answer answer) {
      if (sent.contains(this)) {
        onAnswered(this);
        handler.accept(answer);
      }
    }

    @Override
    public void onAnswer(MeshAnswer answer) {
      if (answer.getNotHome()) {
        onNotHome();
      } else {
        onAnswer(MeshMessages.decodeAnswer(answer));
      }
    }

    @Override
    public void onNotHome() {
      if (!sent.remove(this)) {
        return;
      }
      holdAgain();
    }

    private void holdAgain() {
      if (transaction != null) {
        transaction.destination = null;
      }
      lastAttemptNanos = scheduler.nanoTime();
      hold(this);
    }

    @Override
    public void onLost(boolean wasSent) {
      if (!sent.remove(this)) {
        return;
      }
      boolean canRestart = transaction == null || work.begins();
      boolean canSendAgain = wasSent ? transaction == null && !inDoubtIfLost : canRestart;
      if (canSendAgain) {
        holdAgain();
      } else {
        fail(this, "the connection to the home of group " + group + " was lost");
      }
    }
  }
}

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
 * Brings statements to the home of their group, wherever it is, and says the truth about those
 * whose home was lost on the way.
 *
 * <p>Confined to the instance's thread.
 */
public final class HomeRouter {

  /** Part of its budget that a statement waits for a home to be found. */
  private static final double HOLD_SHARE = 0.8;

  /** A group without a home for so long gets nothing held for it. */
  private static final long HOMELESS_NANOS = Duration.ofMillis(2_500).toNanos();

  /** Time beyond the budget in which the home's own refusal should arrive. */
  private static final long ANSWER_SLACK_NANOS = Duration.ofMillis(250).toNanos();

  private static final Duration SWEEP = Duration.ofMillis(50);

  private static final int MAXIMUM_SENDS = 6;

  private final Scheduler scheduler;
  private final DecisionLog log;
  private final Function<String, @Nullable HomeElection> elections;
  private final Function<String, PeerLink> links;
  private final String selfName;
  private final Set<Routed> held = new LinkedHashSet<>();
  private final Set<Routed> sent = new LinkedHashSet<>();
  private final Map<String, Long> homelessSince = new HashMap<>();

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
    scheduler.repeat(SWEEP, this::sweep);
  }

  /** Returns whether statements are on their way. */
  public boolean isIdle() {
    return held.isEmpty() && sent.isEmpty();
  }

  /** Brings a statement to its home. */
  void submit(
      String group,
      Work work,
      @Nullable TransactionPlace transaction,
      boolean doubtfulIfLost,
      Consumer<Answer> handler) {
    route(new Routed(group, work, transaction, doubtfulIfLost, handler, scheduler.nanoTime()));
  }

  /** Gives up a transaction. */
  void abandon(TransactionPlace transaction) {
    HomeElection election = elections.apply(transaction.group);
    if (transaction.place == this && election != null) {
      election.abandon(this, transaction.number);
    } else if (transaction.place instanceof PeerLink link) {
      link.sendAbandon(transaction.group, transaction.number);
    }
  }

  /** Sends again what waited for a home of {@code group}. */
  public void onHomeChanged(String group) {
    List<Routed> ready = held.stream().filter(r -> r.group.equals(group)).toList();
    ready.forEach(held::remove);
    ready.forEach(this::route);
  }

  private void route(Routed r) {
    HomeElection election = elections.apply(r.group);
    HomeRecord record = election == null ? null : election.record();
    TransactionPlace t = r.transaction;
    Object place = null;
    if (t != null && !r.work.begins()) {
      place = t.place;
      if (place == null) {
        fail(r, "the transaction's home was lost");
        return;
      }
    } else if (election != null && election.isHome()) {
      place = this;
    } else if (record != null) {
      HomeRecord.Holder target = target(election, record);
      place = target.name().equals(selfName) ? null : links.apply(target.address());
    }
    if (place == null || r.sends >= MAXIMUM_SENDS) {
      hold(r);
      return;
    }
    r.sends++;
    if (t != null) {
      t.place = place;
    }
    int waited = (int) ((scheduler.nanoTime() - r.arrivedNanos) / 1_000_000);
    Work work = waited == 0 ? r.work : r.work.afterWaiting(waited);
    sent.add(r);
    if (place == this && election != null) {
      election.submit(this, work, r);
    } else if (place instanceof PeerLink link) {
      r.link = link;
      r.call = link.sendWork(r.group, work, r);
    }
  }

  /** Returns the home, or the instance that stands in for it while it is lost. */
  private static HomeRecord.Holder target(@Nullable HomeElection election, HomeRecord record) {
    HomeRecord.Holder successor = record.successor();
    boolean lost = election != null && election.isHomeLost();
    return lost && successor != null ? successor : record.home();
  }

  private void hold(Routed r) {
    long now = scheduler.nanoTime();
    long since = homelessSince.computeIfAbsent(r.group, g -> now);
    if (now - since > HOMELESS_NANOS) {
      refuse(r, "group " + r.group + " has no home for " + (now - since) / 1_000_000 + " ms");
    } else {
      held.add(r);
    }
  }

  private void heard(Routed r) {
    homelessSince.remove(r.group);
    sent.remove(r);
  }

  private void sweep() {
    long now = scheduler.nanoTime();
    for (Routed r : new ArrayList<>(held)) {
      long waited = now - r.arrivedNanos;
      if (waited > r.work.budgetMillis() * 1e6 * HOLD_SHARE) {
        held.remove(r);
        refuse(r, "no home of group " + r.group + " was reached in time");
      } else if (now - r.lastTryNanos > SWEEP.toNanos()) {
        held.remove(r);
        r.lastTryNanos = now;
        route(r);
      }
    }
    for (Routed r : new ArrayList<>(sent)) {
      if (now - r.arrivedNanos > r.work.budgetMillis() * 1_000_000L + ANSWER_SLACK_NANOS) {
        sent.remove(r);
        if (r.link != null) {
          r.link.forget(r.call);
        }
        fail(r, "the home of group " + r.group + " did not answer in time");
      }
    }
  }

  /** Ends a statement that may have been run. */
  private void fail(Routed r, String reason) {
    if (r.doubtfulIfLost) {
      answer(r, Answer.failure(FailureCode.IN_DOUBT, reason, r.stateAfterFailure()));
    } else if (r.transaction != null) {
      abandon(r.transaction);
      answer(r, Answer.failure(FailureCode.ABORTED, reason, r.stateAfterFailure()));
    } else {
      answer(r, Answer.failure(FailureCode.OVERLOADED, reason, TransactionState.IDLE));
    }
  }

  /** Ends a statement that surely was not run. */
  private void refuse(Routed r, String reason) {
    FailureCode code =
        r.transaction != null && !r.work.begins() ? FailureCode.ABORTED : FailureCode.OVERLOADED;
    answer(r, Answer.failure(code, reason + "; retry after 300 ms", r.stateAfterFailure()));
  }

  private void answer(Routed r, Answer answer) {
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

  /** A statement on its way. */
  private final class Routed implements WorkHandler, PeerLink.WorkOutcome {
    final String group;
    final Work work;
    final @Nullable TransactionPlace transaction;
    final boolean doubtfulIfLost;
    final Consumer<Answer> handler;
    final long arrivedNanos;
    long lastTryNanos;
    int sends;
    @Nullable PeerLink link;
    long call;

    Routed(
        String group,
        Work work,
        @Nullable TransactionPlace transaction,
        boolean doubtfulIfLost,
        Consumer<Answer> handler,
        long arrivedNanos) {
      this.group = group;
      this.work = work;
      this.transaction = transaction;
      this.doubtfulIfLost = doubtfulIfLost;
      this.handler = handler;
      this.arrivedNanos = arrivedNanos;
      this.lastTryNanos = arrivedNanos;
    }

    TransactionState stateAfterFailure() {
      return transaction != null && work.kind() != WorkKind.COMMIT
          ? TransactionState.FAILED
          : TransactionState.IDLE;
    }

    @Override
    public void onAnswer(Answer answer) {
      if (sent.contains(this)) {
        heard(this);
        handler.accept(answer);
      }
    }

    @Override
    public void onAnswer(MeshAnswer answer) {
      if (answer.getNotHome()) {
        onNotHome();
      } else {
        onAnswer(MeshMessages.answer(answer));
      }
    }

    @Override
    public void onNotHome() {
      sent.remove(this);
      if (transaction != null) {
        transaction.place = null;
      }
      lastTryNanos = scheduler.nanoTime();
      hold(this);
    }

    @Override
    public void onLost(boolean wasSent) {
      if (!sent.remove(this)) {
        return;
      }
      boolean beginsAnew = transaction == null || work.begins();
      boolean mayBeSentAgain = wasSent ? transaction == null && !doubtfulIfLost : beginsAnew;
      if (mayBeSentAgain) {
        onNotHome();
      } else {
        fail(this, "the connection to the home of group " + group + " was lost");
      }
    }
  }
}

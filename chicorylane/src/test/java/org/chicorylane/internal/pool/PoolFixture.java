package org.chicorylane.internal.pool;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import org.chicorylane.internal.account.AccountAccess;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.FailureCode;
import org.chicorylane.internal.passthrough.ModelGroup;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerStatus;
import org.chicorylane.internal.passthrough.SessionValues;
import org.chicorylane.internal.passthrough.StatementTemplate;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.AttentionClock;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.runtime.VirtualScheduler;
import org.chicorylane.internal.topology.Freshness;
import org.jspecify.annotations.Nullable;

/** A pool with three model servers, in virtual time; "server-a" is the primary. */
final class PoolFixture {

  private static final Duration ATTENTION_INTERVAL = Duration.ofMillis(50);

  final VirtualScheduler scheduler = new VirtualScheduler();
  final ModelGroup group = new ModelGroup(scheduler, "plans", 3);
  final Map<String, Answer> answers = new HashMap<>();
  final Map<String, Long> tookMillis = new HashMap<>();
  final List<String> notHome = new ArrayList<>();
  final List<String> lost = new ArrayList<>();
  boolean mayServe = true;

  /** Whether the pool's thread is stalled: the checks of its attention are missing. */
  boolean stalled;

  /** The time in which draining servers may be sent new work. */
  Duration drainLeft = Duration.ofSeconds(7);

  final MetricRegistry metrics = new MetricRegistry();
  final GroupPool pool;

  PoolFixture() {
    this((connector, scheduler) -> connector);
  }

  /** Creates a pool that opens connections by what {@code wrapper} makes of the model group. */
  PoolFixture(BiFunction<ServerConnector, Scheduler, ServerConnector> wrapper) {
    AttentionClock attention = new AttentionClock(scheduler, ATTENTION_INTERVAL);
    scheduler.repeat(
        ATTENTION_INTERVAL,
        () -> {
          if (!stalled) {
            attention.check();
          }
        });
    pool =
        new GroupPool(
            "plans",
            wrapper.apply(group, scheduler),
            scheduler,
            attention,
            DecisionLog.none(),
            now -> mayServe,
            server -> server.draining() ? drainLeft.toNanos() : Long.MAX_VALUE,
            StatementQuota.UNLIMITED,
            new PoolMetrics(metrics),
            new PoolListener() {
              @Override
              public void onServerLost(String serverId, ServerLoss loss) {
                lost.add(serverId);
              }

              @Override
              public void onServerUnresponsive(String serverId) {}

              @Override
              public void onServerStatus(String serverId, ServerStatus status, long askedNanos) {}

              @Override
              public void onPrimaryRoleRefused(String serverId) {}
            });
    pool.configure(23, Duration.ofSeconds(3));
    pool.setPrimary("server-a", 1);
    pool.setServers(group.entries());
    advance(300);
  }

  void advance(long millis) {
    scheduler.advance(Duration.ofMillis(millis));
  }

  void submit(Work work) {
    submit(this, work);
  }

  void submit(Object owner, Work work) {
    long submittedNanos = scheduler.nanoTime();
    pool.submit(
        owner,
        work,
        new WorkHandler() {
          @Override
          public void onAnswer(Answer answer) {
            Answer previous = answers.put(work.requestId(), answer);
            if (previous != null) {
              throw new AssertionError("two answers to " + work.requestId());
            }
            tookMillis.put(work.requestId(), (scheduler.nanoTime() - submittedNanos) / 1_000_000);
          }

          @Override
          public void onNotHome() {
            notHome.add(work.requestId());
          }
        });
  }

  /** Returns the failure of an answered request; null if it succeeded. */
  @Nullable FailureCode failureOf(String id) {
    Answer answer = answers.get(id);
    if (answer == null) {
      throw new AssertionError("no answer to " + id);
    }
    return answer.failure();
  }

  static Work read(String id) {
    return work(id, WorkKind.READ, Freshness.BOUNDED_AGE).build();
  }

  static Work write(String id) {
    return work(id, WorkKind.WRITE, Freshness.OWN_WRITES).build();
  }

  static Builder work(String id, WorkKind kind, Freshness freshness) {
    return new Builder(id, kind, freshness);
  }

  /** Builds work with default limits. */
  static final class Builder {
    private final String id;
    private final WorkKind kind;
    private final Freshness freshness;
    private @Nullable StatementTemplate template;
    private @Nullable LogPosition floor;
    private Map<String, String> values = Map.of();
    private long transaction;
    private boolean begins;
    private boolean readOnly;
    private int priority = 1;
    private int target = 250;
    private int budget = 800;
    private @Nullable AccountAccess access;

    Builder(String id, WorkKind kind, Freshness freshness) {
      this.id = id;
      this.kind = kind;
      this.freshness = freshness;
    }

    Builder template(StatementTemplate newTemplate) {
      template = newTemplate;
      return this;
    }

    Builder floor(LogPosition position) {
      floor = position;
      return this;
    }

    Builder values(Map<String, String> newValues) {
      values = newValues;
      return this;
    }

    Builder inTransaction(long number, boolean isFirst, boolean onlyReads) {
      transaction = number;
      begins = isFirst;
      readOnly = onlyReads;
      return this;
    }

    Builder priority(int newPriority) {
      priority = newPriority;
      return this;
    }

    Builder target(int millis) {
      target = millis;
      return this;
    }

    Builder access(AccountAccess newAccess) {
      access = newAccess;
      return this;
    }

    Builder budget(int millis) {
      budget = millis;
      return this;
    }

    Work build() {
      String text = kind == WorkKind.WRITE ? "WRITE item data" : "READ item";
      return new Work(
          kind,
          id,
          text,
          template,
          freshness,
          1_500,
          floor,
          SessionValues.copyOf(values),
          transaction,
          begins,
          readOnly,
          priority,
          target,
          budget,
          access);
    }
  }
}

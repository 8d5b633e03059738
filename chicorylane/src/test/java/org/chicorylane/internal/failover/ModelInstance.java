package org.chicorylane.internal.failover;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * A simulated instance: a home state machine, its confirmation tracker, and hand-written adapters.
 */
final class ModelInstance {
  private static final long WRITE_TIMEOUT_MICROS = 2_000_000;

  final String name;
  final FailoverModel model;
  final HomeStateMachine machine;
  final ConfirmationTracker tracker = new ConfirmationTracker();
  final Map<ControlConnection, ModelServer.Session> sessions = new HashMap<>();
  final Map<Long, String> inFlight = new HashMap<>();
  final Map<Long, Long> committedAt = new HashMap<>();
  final Set<String> dropped = new TreeSet<>();
  private final ArrayDeque<Runnable> queuedTasks = new ArrayDeque<>();
  HomeAction.@Nullable OpenWrites open;
  boolean alive = true;
  boolean paused;
  private long workConnectionCount;
  private @Nullable ControlConnection workConnection;

  ModelInstance(String name, FailoverModel model, long seed) {
    this.name = name;
    this.model = model;
    this.machine = new HomeStateMachine(name, model.group, FailoverTimings.DEFAULTS, seed);
  }

  /**
   * Runs a task now, or on resume if the instance is paused. Discards it if the instance is dead.
   */
  void deliver(Runnable task) {
    if (!alive) {
      return;
    }
    if (paused) {
      queuedTasks.add(task);
    } else {
      task.run();
    }
  }

  void resume() {
    paused = false;
    while (!queuedTasks.isEmpty() && !paused) {
      queuedTasks.poll().run();
    }
  }

  void handle(HomeEvent event) {
    if (event instanceof HomeEvent.ControlLost lost && lost.connection().equals(workConnection)) {
      workConnection = null;
      return;
    }
    for (HomeAction action : machine.handle(event, model.instant())) {
      model.trace(name, event, action);
      run(action);
    }
    if (event instanceof HomeEvent.Observed && tracker.needsObservation()) {
      handle(new HomeEvent.ObserveNow());
    }
  }

  void tick() {
    handle(new HomeEvent.Tick());
    settle(tracker.expire(model.instant()));
    for (String server : List.copyOf(dropped)) {
      if (!inFlight.containsValue(server) && tracker.pendingCount() == 0) {
        dropped.remove(server);
        handle(new HomeEvent.WorkEnded(server));
      }
    }
  }

  private void run(HomeAction action) {
    if (action instanceof HomeAction.ConnectionAction connectionAction) {
      model.sendToServer(this, connectionAction);
    } else if (action instanceof HomeAction.OpenWrites opened) {
      settle(tracker.beginTerm(opened.term(), opened.voters()));
      open = opened;
    } else if (action instanceof HomeAction.CloseWrites closed) {
      open = null;
      if (closed.reason().endsPendingWrites()) {
        settle(tracker.endTerm());
      }
    } else if (action instanceof HomeAction.LogHeld held) {
      settle(tracker.onLogHeld(held.server(), held.term(), held.offset()));
    } else if (action instanceof HomeAction.UseServer use) {
      dropped.remove(use.server());
    } else if (action instanceof HomeAction.DropServer drop) {
      dropped.add(drop.server());
      workConnection = null;
    } else if (action instanceof HomeAction.AskEvidence ask) {
      model.collectEvidence(this, ask);
    } else if (action instanceof HomeAction.HandOver handOver) {
      model.handOver(this, handOver.toInstance());
    } else if (action instanceof HomeAction.InvariantBroken broken) {
      model.check(false, name + " says: " + broken);
    } else {
      model.sendToStore(this, action);
    }
  }

  /** Sends a write on the work connection, opening one if there is none. */
  void write(long id) {
    HomeAction.OpenWrites target = open;
    if (target == null || paused || !alive) {
      return;
    }
    if (workConnection == null || !workConnection.server().equals(target.primary())) {
      workConnectionCount++;
      workConnection = new ControlConnection(target.primary(), -workConnectionCount);
      model.openSession(this, workConnection, false);
    }
    inFlight.put(id, target.primary());
    model.write(this, workConnection, id, target.term());
    model.after(WRITE_TIMEOUT_MICROS, () -> deliver(() -> timeOut(id)));
  }

  private void timeOut(long id) {
    if (inFlight.remove(id) != null) {
      workConnection = null;
    }
  }

  void onWritten(long id, long term, long offset) {
    if (inFlight.remove(id) == null || offset < 0) {
      return;
    }
    if (model.mutation == FailoverModel.Mutation.PRIMARY_ALONE_CONFIRMS) {
      model.onAcknowledged(this, id);
      return;
    }
    committedAt.put(id, model.now());
    settle(
        tracker.submit(
            Long.toString(id),
            new LogPosition(term, offset),
            model.instant().plus(Duration.ofSeconds(2))));
    handle(new HomeEvent.ObserveNow());
  }

  private void settle(List<ConfirmationTracker.Settlement> settlements) {
    for (ConfirmationTracker.Settlement settlement : settlements) {
      if (settlement.confirmed()) {
        long id = Long.parseLong(settlement.id());
        model.onAcknowledged(this, id);
        model.confirmationMicros.add(model.now() - committedAt.get(id));
      }
    }
  }
}

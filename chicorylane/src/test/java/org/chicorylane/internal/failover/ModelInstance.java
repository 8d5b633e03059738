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

/** An instance of the model: a home machine, its tracker, and hand-written adapters. */
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
  private final ArrayDeque<Runnable> inbox = new ArrayDeque<>();
  HomeAction.@Nullable OpenWrites open;
  boolean alive = true;
  boolean paused;
  private long workConnections;
  private @Nullable ControlConnection work;

  ModelInstance(String name, FailoverModel model, long seed) {
    this.name = name;
    this.model = model;
    this.machine = new HomeStateMachine(name, model.group, FailoverTimings.DEFAULTS, seed);
  }

  /** Runs now, or when the instance goes on. */
  void receive(Runnable task) {
    if (!alive) {
      return;
    }
    if (paused) {
      inbox.add(task);
    } else {
      task.run();
    }
  }

  void resume() {
    paused = false;
    while (!inbox.isEmpty() && !paused) {
      inbox.poll().run();
    }
  }

  void on(HomeEvent event) {
    if (event instanceof HomeEvent.ControlLost lost && lost.connection().equals(work)) {
      work = null;
      return;
    }
    for (HomeAction action : machine.handle(event, model.instant())) {
      model.trace(name, event, action);
      run(action);
    }
    if (event instanceof HomeEvent.Observed && tracker.needsObservation()) {
      on(new HomeEvent.ObserveNow());
    }
  }

  void tick() {
    on(new HomeEvent.Tick());
    settle(tracker.expire(model.instant()));
    for (String server : List.copyOf(dropped)) {
      if (!inFlight.containsValue(server) && tracker.pendingCount() == 0) {
        dropped.remove(server);
        on(new HomeEvent.WorkEnded(server));
      }
    }
  }

  private void run(HomeAction action) {
    if (action instanceof HomeAction.ConnectionAction onConnection) {
      model.toServer(this, onConnection);
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
      work = null;
    } else if (action instanceof HomeAction.AskEvidence ask) {
      model.evidence(this, ask);
    } else if (action instanceof HomeAction.HandOver handOver) {
      model.handOver(this, handOver.toInstance());
    } else if (action instanceof HomeAction.InvariantBroken broken) {
      model.check(false, name + " says: " + broken);
    } else {
      model.toStore(this, action);
    }
  }

  /** Sends a write on the work connection, opening one if there is none. */
  void write(long id) {
    HomeAction.OpenWrites to = open;
    if (to == null || paused || !alive) {
      return;
    }
    if (work == null || !work.server().equals(to.primary())) {
      workConnections++;
      work = new ControlConnection(to.primary(), -workConnections);
      model.openSession(this, work, false);
    }
    inFlight.put(id, to.primary());
    model.write(this, work, id, to.term());
    model.after(WRITE_TIMEOUT_MICROS, () -> receive(() -> timeOut(id)));
  }

  private void timeOut(long id) {
    if (inFlight.remove(id) != null) {
      work = null;
    }
  }

  void written(long id, long term, long offset) {
    if (inFlight.remove(id) == null || offset < 0) {
      return;
    }
    if (model.mutation == FailoverModel.Mutation.PRIMARY_ALONE_CONFIRMS) {
      model.acknowledged(this, id);
      return;
    }
    committedAt.put(id, model.now());
    settle(
        tracker.submit(
            Long.toString(id),
            new LogPosition(term, offset),
            model.instant().plus(Duration.ofSeconds(2))));
    on(new HomeEvent.ObserveNow());
  }

  private void settle(List<ConfirmationTracker.Settlement> settlements) {
    for (ConfirmationTracker.Settlement settlement : settlements) {
      if (settlement.confirmed()) {
        long id = Long.parseLong(settlement.id());
        model.acknowledged(this, id);
        model.confirmationMicros.add(model.now() - committedAt.get(id));
      }
    }
  }
}

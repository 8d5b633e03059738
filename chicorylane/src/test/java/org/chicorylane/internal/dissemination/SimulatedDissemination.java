package org.chicorylane.internal.dissemination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Runs many cores over a store with outages, peers that may not answer, and gossip that gets lost:
 * a core that installs tells three random others, and each tells one random other a second.
 */
final class SimulatedDissemination {

  private static final Duration CALL_TIME = Duration.ofMillis(5);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration GOSSIP_PERIOD = Duration.ofSeconds(1);
  private static final int PUSHES = 3;

  private record Event(Instant due, long order, Runnable work) {}

  private static final class Node {
    private RevisionStateMachine core;
    private DeclarationSnapshot snapshot = DeclarationSnapshot.EMPTY;
    private @Nullable Node informant;
    private boolean watching;
    private boolean watcher;
    private int life;

    Node(RevisionStateMachine core) {
      this.core = core;
    }
  }

  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparing(Event::due).thenComparing(Event::order));
  private final List<Node> nodes = new ArrayList<>();
  private Instant now = Instant.EPOCH;
  private long order;
  private long storeRevision = 1;
  private DeclarationSnapshot stored = DeclarationSnapshot.EMPTY;
  private boolean storeDown;
  private double loss;
  private long storeCalls;

  SimulatedDissemination(int size, int watchers, long seed) {
    random = new Random(seed);
    for (int i = 0; i < size; i++) {
      Node node = new Node(newCore());
      node.watcher = i < watchers;
      nodes.add(node);
      start(node);
      at(gossipDelay(), () -> gossip(node));
    }
  }

  void change() {
    storeRevision++;
    stored = new DeclarationSnapshot(storeRevision, List.of("document " + storeRevision));
    for (Node node : nodes) {
      if (node.watching && random.nextDouble() >= loss) {
        long revision = storeRevision;
        deliver(node, CALL_TIME, () -> node.core.onHeard(revision, now));
      }
    }
  }

  void setStoreDown(boolean down) {
    storeDown = down;
  }

  void setLoss(double newLoss) {
    loss = newLoss;
  }

  /** Starts the instance anew, with nothing in force. */
  void restart(int index) {
    Node node = nodes.get(index);
    node.life++;
    node.watching = false;
    node.snapshot = DeclarationSnapshot.EMPTY;
    node.core = newCore();
    start(node);
  }

  void run(Duration time) {
    Instant end = now.plus(time);
    while (!events.isEmpty() && !events.peek().due().isAfter(end)) {
      Event event = events.remove();
      now = event.due();
      event.work().run();
    }
    now = end;
  }

  long storeCalls() {
    return storeCalls;
  }

  long storedRevision() {
    return stored.revision();
  }

  List<DeclarationSnapshot> snapshots() {
    return nodes.stream().map(n -> n.snapshot).toList();
  }

  boolean converged() {
    return nodes.stream().allMatch(n -> n.snapshot.equals(stored));
  }

  private RevisionStateMachine newCore() {
    return new RevisionStateMachine(RevisionOptions.DEFAULT, random.nextLong(), now);
  }

  private void start(Node node) {
    deliver(node, CALL_TIME, () -> node.core.onRole(node.watcher, nodes.size(), now));
  }

  private void gossip(Node node) {
    tell(node);
    at(GOSSIP_PERIOD, () -> gossip(node));
  }

  private void tell(Node node) {
    Node other = nodes.get(random.nextInt(nodes.size()));
    long revision = node.snapshot.revision();
    if (other != node && random.nextDouble() >= loss) {
      deliver(other, CALL_TIME, () -> hear(other, node, revision));
    }
  }

  private List<RevisionAction> hear(Node node, Node informant, long revision) {
    if (revision > node.snapshot.revision()) {
      node.informant = informant;
    }
    return node.core.onHeard(revision, now);
  }

  private void perform(Node node, List<RevisionAction> actions) {
    for (RevisionAction action : actions) {
      if (action instanceof RevisionAction.CheckStore) {
        callStore(node, 1, () -> node.core.onChecked(stored.revision(), storeRevision, now));
      } else if (action instanceof RevisionAction.ReadStore) {
        DeclarationSnapshot read = stored;
        long readAt = storeRevision;
        callStore(node, 2, () -> node.core.onRead(read, readAt, now));
      } else if (action instanceof RevisionAction.PullFromPeer pull) {
        pull(node, pull.wanted());
      } else if (action instanceof RevisionAction.OpenWatch open) {
        openWatch(node, open.fromRevision());
      } else if (action instanceof RevisionAction.Install install) {
        install(node, install.snapshot());
      } else {
        node.watching = false;
      }
    }
    int life = node.life;
    node.core
        .nextTick()
        .ifPresent(
            due -> {
              Duration wait = Duration.between(now, due);
              at(wait.isNegative() ? Duration.ZERO : wait, () -> tickIfDue(node, life));
            });
  }

  private void tickIfDue(Node node, int life) {
    boolean due = node.core.nextTick().filter(t -> !now.isBefore(t)).isPresent();
    if (life == node.life && due) {
      List<RevisionAction> actions = node.core.onTick(now);
      if (!actions.isEmpty()) {
        perform(node, actions);
      }
    }
  }

  private void install(Node node, DeclarationSnapshot snapshot) {
    if (snapshot.revision() <= node.snapshot.revision()) {
      throw new AssertionError("reverted from " + node.snapshot + " to " + snapshot);
    }
    node.snapshot = snapshot;
    for (int i = 0; i < PUSHES; i++) {
      tell(node);
    }
  }

  private void openWatch(Node node, long fromRevision) {
    storeCalls++;
    node.watching = true;
    if (stored.revision() >= fromRevision) {
      long revision = stored.revision();
      deliver(node, CALL_TIME, () -> node.core.onHeard(revision, now));
    }
  }

  private void callStore(Node node, int calls, Supplier<List<RevisionAction>> r) {
    storeCalls += calls;
    if (storeDown || random.nextDouble() < loss) {
      deliver(node, CALL_TIMEOUT, () -> node.core.onFailed(now));
    } else {
      deliver(node, CALL_TIME, r);
    }
  }

  private void pull(Node node, long wanted) {
    Node informant = node.informant;
    boolean informed = informant != null && informant.snapshot.revision() >= wanted;
    Node peer = informed ? informant : nodes.get(random.nextInt(nodes.size()));
    if (peer == node || random.nextDouble() < loss) {
      deliver(node, CALL_TIMEOUT, () -> node.core.onFailed(now));
    } else {
      deliver(node, CALL_TIME, () -> node.core.onPulled(peer.snapshot, now));
    }
  }

  private void deliver(Node node, Duration delay, Supplier<List<RevisionAction>> event) {
    int life = node.life;
    at(
        delay,
        () -> {
          if (life == node.life) {
            perform(node, event.get());
          }
        });
  }

  private Duration gossipDelay() {
    return Duration.ofMillis(random.nextInt((int) GOSSIP_PERIOD.toMillis()));
  }

  private void at(Duration delay, Runnable work) {
    events.add(new Event(now.plus(delay), order++, work));
  }
}

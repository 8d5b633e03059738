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
 * Runs the state machines of many instances in simulated time, over a store with outages, peers
 * that may not answer, and gossip that can be lost. An instance that installs a snapshot reports
 * its revision to three random others, and every instance reports it to one random other each
 * second. It throws if an instance reverts to an older snapshot.
 */
final class SimulatedDissemination {

  private static final Duration CALL_DURATION = Duration.ofMillis(5);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration GOSSIP_PERIOD = Duration.ofSeconds(1);
  private static final int PUSHES = 3;

  private record Event(Instant due, long order, Runnable work) {}

  private static final class Node {
    private RevisionStateMachine stateMachine;
    private DeclarationSnapshot snapshot = DeclarationSnapshot.EMPTY;
    private @Nullable Node informant;
    private boolean watching;
    private boolean watcher;
    private int restarts;

    Node(RevisionStateMachine stateMachine) {
      this.stateMachine = stateMachine;
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
      Node node = new Node(newStateMachine());
      node.watcher = i < watchers;
      nodes.add(node);
      start(node);
      schedule(gossipDelay(), () -> gossip(node));
    }
  }

  void change() {
    storeRevision++;
    stored = new DeclarationSnapshot(storeRevision, List.of("document " + storeRevision));
    for (Node node : nodes) {
      if (node.watching && random.nextDouble() >= loss) {
        long revision = storeRevision;
        deliver(node, CALL_DURATION, () -> node.stateMachine.onRevisionReported(revision, now));
      }
    }
  }

  void setStoreDown(boolean down) {
    storeDown = down;
  }

  void setLoss(double newLoss) {
    loss = newLoss;
  }

  /** Restarts the instance with no declarations in force. */
  void restart(int index) {
    Node node = nodes.get(index);
    node.restarts++;
    node.watching = false;
    node.snapshot = DeclarationSnapshot.EMPTY;
    node.stateMachine = newStateMachine();
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

  boolean hasConverged() {
    return nodes.stream().allMatch(n -> n.snapshot.equals(stored));
  }

  private RevisionStateMachine newStateMachine() {
    return new RevisionStateMachine(RevisionOptions.DEFAULT, random.nextLong(), now);
  }

  private void start(Node node) {
    deliver(node, CALL_DURATION, () -> node.stateMachine.onRole(node.watcher, nodes.size(), now));
  }

  private void gossip(Node node) {
    reportRevision(node);
    schedule(GOSSIP_PERIOD, () -> gossip(node));
  }

  private void reportRevision(Node node) {
    Node other = nodes.get(random.nextInt(nodes.size()));
    long revision = node.snapshot.revision();
    if (other != node && random.nextDouble() >= loss) {
      deliver(other, CALL_DURATION, () -> onReport(other, node, revision));
    }
  }

  private List<RevisionAction> onReport(Node node, Node informant, long revision) {
    if (revision > node.snapshot.revision()) {
      node.informant = informant;
    }
    return node.stateMachine.onRevisionReported(revision, now);
  }

  private void perform(Node node, List<RevisionAction> actions) {
    for (RevisionAction action : actions) {
      if (action instanceof RevisionAction.CheckStore) {
        callStore(
            node, 1, () -> node.stateMachine.onChecked(stored.revision(), storeRevision, now));
      } else if (action instanceof RevisionAction.ReadStore) {
        DeclarationSnapshot read = stored;
        long readAt = storeRevision;
        callStore(node, 2, () -> node.stateMachine.onRead(read, readAt, now));
      } else if (action instanceof RevisionAction.PullFromPeer pull) {
        pull(node, pull.wantedRevision());
      } else if (action instanceof RevisionAction.OpenWatch open) {
        openWatch(node, open.fromRevision());
      } else if (action instanceof RevisionAction.Install install) {
        install(node, install.snapshot());
      } else {
        node.watching = false;
      }
    }
    int restarts = node.restarts;
    node.stateMachine
        .nextTick()
        .ifPresent(
            due -> {
              Duration wait = Duration.between(now, due);
              schedule(wait.isNegative() ? Duration.ZERO : wait, () -> tickIfDue(node, restarts));
            });
  }

  private void tickIfDue(Node node, int restarts) {
    boolean due = node.stateMachine.nextTick().filter(t -> !now.isBefore(t)).isPresent();
    if (restarts == node.restarts && due) {
      List<RevisionAction> actions = node.stateMachine.onTick(now);
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
      reportRevision(node);
    }
  }

  private void openWatch(Node node, long fromRevision) {
    storeCalls++;
    node.watching = true;
    if (stored.revision() >= fromRevision) {
      long revision = stored.revision();
      deliver(node, CALL_DURATION, () -> node.stateMachine.onRevisionReported(revision, now));
    }
  }

  private void callStore(Node node, int calls, Supplier<List<RevisionAction>> report) {
    storeCalls += calls;
    if (storeDown || random.nextDouble() < loss) {
      deliver(node, CALL_TIMEOUT, () -> node.stateMachine.onFailed(now));
    } else {
      deliver(node, CALL_DURATION, report);
    }
  }

  private void pull(Node node, long wantedRevision) {
    Node informant = node.informant;
    boolean informantIsUpToDate =
        informant != null && informant.snapshot.revision() >= wantedRevision;
    Node peer = informantIsUpToDate ? informant : nodes.get(random.nextInt(nodes.size()));
    if (peer == node || random.nextDouble() < loss) {
      deliver(node, CALL_TIMEOUT, () -> node.stateMachine.onFailed(now));
    } else {
      deliver(node, CALL_DURATION, () -> node.stateMachine.onPulled(peer.snapshot, now));
    }
  }

  private void deliver(Node node, Duration delay, Supplier<List<RevisionAction>> event) {
    int restarts = node.restarts;
    schedule(
        delay,
        () -> {
          if (restarts == node.restarts) {
            perform(node, event.get());
          }
        });
  }

  private Duration gossipDelay() {
    return Duration.ofMillis(random.nextInt((int) GOSSIP_PERIOD.toMillis()));
  }

  private void schedule(Duration delay, Runnable work) {
    events.add(new Event(now.plus(delay), order++, work));
  }
}

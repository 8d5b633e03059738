package org.chicorylane.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.position.TermHistory;
import org.chicorylane.internal.routing.ReadRequest;
import org.chicorylane.internal.routing.ReplicaRouter;
import org.chicorylane.internal.routing.RoutingDecision;
import org.chicorylane.internal.routing.SelectionPolicy;
import org.chicorylane.internal.routing.ServerAvailability;

/** Who serves reads, as a simulation drives it. Not thread-safe. */
interface ReadStrategy {
  /** The primary. */
  String PRIMARY = "a";

  /** The replicas. */
  List<String> REPLICAS = List.of("b", "c");

  /** Slots of each server. */
  int SLOTS = 3;

  RoutingDecision choose(ReadRequest read, Instant now);

  /** Passes an event on to every router that the strategy uses. */
  void tell(Consumer<ReplicaRouter> event);

  /** Forgets everything, as another instance becomes home. */
  void takeOver(LogPosition end);

  /** The product's router. */
  final class Routed implements ReadStrategy {
    private final SelectionPolicy policy;
    private final Random random;
    private ReplicaRouter router;

    Routed(SelectionPolicy policy, long seed) {
      this.policy = policy;
      this.random = new Random(seed);
      this.router = router(policy, random, REPLICAS, LogPosition.ZERO);
    }

    @Override
    public RoutingDecision choose(ReadRequest read, Instant now) {
      return router.choose(read, now);
    }

    @Override
    public void tell(Consumer<ReplicaRouter> event) {
      event.accept(router);
    }

    @Override
    public void takeOver(LogPosition end) {
      router = router(policy, random, REPLICAS, end);
    }
  }

  /**
   * The baseline: any replica, then wait for the position; the primary when the deadline is near.
   */
  final class AnyReplica implements ReadStrategy {
    private static final Duration RESERVE = Duration.ofMillis(200);
    private static final Duration LOOK_AGAIN = Duration.ofMillis(5);

    private final Random random;
    private final IdentityHashMap<ReadRequest, ReplicaRouter> chosen = new IdentityHashMap<>();
    private List<ReplicaRouter> routers;

    AnyReplica(long seed) {
      random = new Random(seed);
      routers = routers(LogPosition.ZERO);
    }

    private List<ReplicaRouter> routers(LogPosition end) {
      return REPLICAS.stream()
          .map(r -> router(SelectionPolicy.LEAST_EXPECTED_WAIT, random, List.of(r), end))
          .toList();
    }

    @Override
    public RoutingDecision choose(ReadRequest read, Instant now) {
      ReplicaRouter router =
          chosen.computeIfAbsent(read, r -> routers.get(random.nextInt(routers.size())));
      RoutingDecision decision = router.choose(read, now);
      Duration maximumAge = read.maximumAge();
      boolean fresh = maximumAge != null && maximumAge.isZero();
      if (decision instanceof RoutingDecision.Serve) {
        return decision;
      }
      if (fresh || now.isAfter(read.deadline().minus(RESERVE))) {
        return new RoutingDecision.Primary(PRIMARY);
      }
      return new RoutingDecision.WaitUntil(now.plus(LOOK_AGAIN), "the position");
    }

    @Override
    public void tell(Consumer<ReplicaRouter> event) {
      routers.forEach(event);
    }

    @Override
    public void takeOver(LogPosition end) {
      chosen.clear();
      routers = routers(end);
    }
  }

  private static ReplicaRouter router(
      SelectionPolicy policy, Random random, List<String> replicas, LogPosition end) {
    ReplicaRouter router = new ReplicaRouter(policy, random);
    router.setServer(PRIMARY, SLOTS, ServerAvailability.JOINED);
    replicas.forEach(r -> router.setServer(r, SLOTS, ServerAvailability.JOINED));
    router.onTakeover(PRIMARY, TermHistory.first(1), end);
    return router;
  }
}

package org.chicorylane.internal.home;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import org.chicorylane.internal.declaration.BackendServer;
import org.chicorylane.internal.failover.CloseReason;
import org.chicorylane.internal.failover.HomeAction;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.RequestKind;
import org.chicorylane.internal.routing.ReadRequest;
import org.chicorylane.internal.routing.ReplicaRouter;
import org.chicorylane.internal.routing.RoutingDecision;
import org.chicorylane.internal.routing.SelectionPolicy;
import org.chicorylane.internal.routing.ServerAvailability;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the servers that may run a read, so that a session sees its own writes and the read's
 * maximum age is kept (bounded staleness).
 *
 * <p>The choice is made by the group's {@link ReplicaRouter}; this class reports servers, their
 * positions and the writes of sessions to it.
 *
 * <p>Runs on the group's executor only.
 */
final class ReadRouting {
  /** A statement is assumed to run no longer this long after its connection was closed. */
  private static final Duration SETTLE_DELAY = Duration.ofSeconds(1);

  /**
   * Passed for every server. Each control connection stands for one incarnation of its server, and
   * the loss of the connection discards the server's position, so the router need not compare them.
   */
  private static final Instant CONSTANT_INCARNATION = Instant.EPOCH;

  private final ReplicaRouter router;
  private final List<WriteInDoubt> writesInDoubt = new ArrayList<>();
  private HomeAction.@Nullable OpenWrites lastOpened;

  /**
   * Incremented each time the router settles all writes in doubt, which it does when writes open.
   * Results of requests that were dispatched in an earlier epoch no longer settle anything.
   */
  private int epoch = 1;

  /** A session with a write that may still be committed. */
  private record WriteInDoubt(String session, Instant since) {}

  ReadRouting(long seed) {
    router = new ReplicaRouter(SelectionPolicy.LEAST_EXPECTED_WAIT, new Random(seed));
  }

  RoutingDecision chooseServers(GroupRequest request, Instant arrival, Instant now) {
    return router.choose(
        new ReadRequest(
            request.sessionId(),
            request.floor(),
            request.maximumAge(),
            arrival,
            request.deadline()),
        now);
  }

  void addServer(BackendServer server) {
    router.setServer(server.name(), server.slots(), ServerAvailability.JOINED);
  }

  void removeServer(String server) {
    router.setServer(server, 0, ServerAvailability.UNUSABLE);
  }

  void onWritesOpened(HomeAction.OpenWrites opened) {
    HomeAction.OpenWrites lastOpening = lastOpened;
    if (opened.equals(lastOpening)) {
      return;
    }
    epoch++;
    writesInDoubt.clear();
    if (lastOpening != null && opened.term() > lastOpening.term()) {
      router.onPromotion(opened.primary(), opened.history());
    } else {
      router.onTakeover(opened.primary(), opened.history(), opened.floor());
    }
    lastOpened = opened;
  }

  void onWritesClosed(CloseReason reason) {
    if (reason == CloseReason.PRIMARY_SUSPECTED || reason == CloseReason.REPLACING_PRIMARY) {
      router.onPrimaryLost();
    }
  }

  void onGroupReleased() {
    lastOpened = null;
  }

  void onServerSampled(HomeAction.ServerSampled sample, boolean isPrimary, Instant now) {
    router.onReplayed(sample.server(), CONSTANT_INCARNATION, sample.replayed(), now);
    if (isPrimary) {
      router.onPrimaryPosition(sample.sentAt(), sample.replayed());
      settleWritesBefore(sample.sentAt(), sample.replayed());
    }
  }

  /**
   * Records that a request is sent to a server. If the request may commit, its session may have
   * written from now on.
   */
  void onDispatched(String server, PendingRequest pending) {
    router.onDispatched(server);
    String session = writingSession(pending);
    if (session != null) {
      pending.setRoutingEpoch(epoch);
      router.onWriteInDoubt(session);
    }
  }

  void onCommitted(PendingRequest pending, LogPosition position, Instant sentAt) {
    router.onPrimaryPosition(sentAt, position);
    onEnded(pending, position);
  }

  /** Records that the request has ended and wrote nothing beyond {@code position}. */
  void onEnded(PendingRequest pending, LogPosition position) {
    String session = writingSession(pending);
    if (session != null && pending.routingEpoch() == epoch) {
      router.onWriteSettled(session, position);
    }
  }

  /**
   * Records that the request may still be committed. The first sample of the primary that was sent
   * later than {@link #SETTLE_DELAY} after {@code now} settles it.
   */
  void onInDoubt(PendingRequest pending, Instant now) {
    String session = writingSession(pending);
    if (session != null && pending.routingEpoch() == epoch) {
      writesInDoubt.add(new WriteInDoubt(session, now));
    }
  }

  /** Returns the session of a request that may commit a write; null for any other request. */
  private static @Nullable String writingSession(PendingRequest pending) {
    RequestKind kind = pending.request().kind();
    boolean mayCommit = kind == RequestKind.WRITE || kind == RequestKind.COMMIT;
    return mayCommit ? pending.request().sessionId() : null;
  }

  void onAnswered(String server, Duration serviceTime) {
    router.onAnswered(server, serviceTime);
  }

  private void settleWritesBefore(Instant sentAt, LogPosition position) {
    for (Iterator<WriteInDoubt> i = writesInDoubt.iterator(); i.hasNext(); ) {
      WriteInDoubt write = i.next();
      if (write.since().plus(SETTLE_DELAY).isBefore(sentAt)) {
        router.onWriteSettled(write.session(), position);
        i.remove();
      }
    }
  }
}

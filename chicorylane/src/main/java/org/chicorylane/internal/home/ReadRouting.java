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
 * Keeps the group's {@link ReplicaRouter} told of servers, positions and sessions' writes.
 *
 * <p>Runs on the group's executor only.
 */
final class ReadRouting {
  /** After that time a statement whose connection was ended is taken to run no longer. */
  private static final Duration SETTLE_DELAY = Duration.ofSeconds(1);

  /** A server's incarnation is told by its control connection, whose loss drops its position. */
  private static final Instant SAME_INCARNATION = Instant.EPOCH;

  private final ReplicaRouter router;
  private final List<InDoubt> inDoubt = new ArrayList<>();
  private HomeAction.@Nullable OpenWrites lastOpened;

  /** Counts the moments at which the router settled every write in doubt. */
  private int epoch = 1;

  /** A session whose write may yet be committed. */
  private record InDoubt(String session, Instant since) {}

  ReadRouting(long seed) {
    router = new ReplicaRouter(SelectionPolicy.LEAST_EXPECTED_WAIT, new Random(seed));
  }

  RoutingDecision choose(GroupRequest request, Instant arrival, Instant now) {
    return router.choose(
        new ReadRequest(
            request.sessionId(),
            request.floor(),
            request.maximumAge(),
            arrival,
            request.deadline()),
        now);
  }

  void use(BackendServer server) {
    router.setServer(server.name(), server.slots(), ServerAvailability.JOINED);
  }

  void drop(String server) {
    router.setServer(server, 0, ServerAvailability.UNUSABLE);
  }

  void opened(HomeAction.OpenWrites opened) {
    HomeAction.OpenWrites last = lastOpened;
    if (opened.equals(last)) {
      return;
    }
    epoch++;
    inDoubt.clear();
    if (last != null && opened.term() > last.term()) {
      router.onPromotion(opened.primary(), opened.history());
    } else {
      router.onTakeover(opened.primary(), opened.history(), opened.floor());
    }
    lastOpened = opened;
  }

  void closed(CloseReason reason) {
    if (reason == CloseReason.PRIMARY_SUSPECTED || reason == CloseReason.REPLACING_PRIMARY) {
      router.onPrimaryLost();
    }
  }

  void released() {
    lastOpened = null;
  }

  void sampled(HomeAction.ServerSampled sample, boolean isPrimary, Instant now) {
    router.onReplayed(sample.server(), SAME_INCARNATION, sample.replayed(), now);
    if (isPrimary) {
      router.onPrimaryPosition(sample.sentAt(), sample.replayed());
      settleBefore(sample.sentAt(), sample.replayed());
    }
  }

  /** A request goes to a server; from now on its session may have written. */
  void dispatched(String server, PendingRequest ticket) {
    router.onDispatched(server);
    String session = writingSession(ticket);
    if (session != null) {
      ticket.setEpoch(epoch);
      router.onWriteInDoubt(session);
    }
  }

  void committed(PendingRequest ticket, LogPosition position, Instant sentAt) {
    router.onPrimaryPosition(sentAt, position);
    ended(ticket, position);
  }

  /** The request has written nothing beyond that position. */
  void ended(PendingRequest ticket, LogPosition position) {
    String session = writingSession(ticket);
    if (session != null && ticket.epoch() == epoch) {
      router.onWriteSettled(session, position);
    }
  }

  /** The request may yet be committed; later samples of the primary settle it. */
  void inDoubt(PendingRequest ticket, Instant now) {
    String session = writingSession(ticket);
    if (session != null && ticket.epoch() == epoch) {
      inDoubt.add(new InDoubt(session, now));
    }
  }

  /** Only what may commit counts as a write. */
  private static @Nullable String writingSession(PendingRequest ticket) {
    RequestKind kind = ticket.request().kind();
    boolean mayCommit = kind == RequestKind.WRITE || kind == RequestKind.COMMIT;
    return mayCommit ? ticket.request().sessionId() : null;
  }

  void answered(String server, Duration serviceTime) {
    router.onAnswered(server, serviceTime);
  }

  private void settleBefore(Instant sentAt, LogPosition position) {
    for (Iterator<InDoubt> i = inDoubt.iterator(); i.hasNext(); ) {
      InDoubt d = i.next();
      if (d.since().plus(SETTLE_DELAY).isBefore(sentAt)) {
        router.onWriteSettled(d.session(), position);
        i.remove();
      }
    }
  }
}

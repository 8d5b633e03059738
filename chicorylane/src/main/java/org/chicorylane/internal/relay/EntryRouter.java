package org.chicorylane.internal.relay;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.relay.generated.RelayFrame;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Brings requests from an entry to the home of their database group, here or on another instance.
 *
 * <pre>{@code
 * GroupService service = new EntryRouter(fleet, client, home, scheduler, clock, metrics);
 * service.submit(request).thenAccept(outcome -> ...);
 * }</pre>
 *
 * <p>A request that was not run because the instance asked is not the home is brought to the next
 * candidate until its deadline. A request whose answer was lost on the way is sent again only if it
 * reads, is repeatable or carries an idempotency key; otherwise its outcome is unknown.
 * Thread-safe.
 */
public final class EntryRouter implements GroupService {
  private static final Duration FIRST_BACKOFF = Duration.ofMillis(5);
  private static final Duration BACKOFF_LIMIT = Duration.ofMillis(100);
  private static final Duration ANSWER_GRACE = Duration.ofMillis(250);
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  private final Fleet fleet;
  private final RelayClient client;
  private final GroupService localHome;
  private final ScheduledExecutorService scheduler;
  private final InstantSource clock;
  private final Meter redirects;
  private final Meter lostAnswers;
  private final Map<String, String> lastHome = new ConcurrentHashMap<>();

  /**
   * Makes a router.
   *
   * @param fleet the instances
   * @param client asks other instances
   * @param localHome serves the groups that are homed here
   * @param scheduler runs delayed tries
   * @param clock counts deadlines
   * @param metrics where redirects are counted
   */
  public EntryRouter(
      Fleet fleet,
      RelayClient client,
      GroupService localHome,
      ScheduledExecutorService scheduler,
      InstantSource clock,
      MetricRegistry metrics) {
    this.fleet = fleet;
    this.client = client;
    this.localHome = localHome;
    this.scheduler = scheduler;
    this.clock = clock;
    this.redirects = metrics.meter("entry.redirects");
    this.lostAnswers = metrics.meter("entry.lost-answers");
  }

  @Override
  public CompletableFuture<Outcome> submit(GroupRequest request) {
    CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    new Journey(request, outcome).next(lastHome.get(request.group()));
    return outcome;
  }

  /** One request on its way; its methods run one after the other. */
  private final class Journey {
    private final GroupRequest request;
    private final CompletableFuture<Outcome> outcome;
    private int attempts;
    private boolean doubtful;
    private String lastObstacle = "no instance is known";

    Journey(GroupRequest request, CompletableFuture<Outcome> outcome) {
      this.request = request;
      this.outcome = outcome;
    }

    void next(@Nullable String hint) {
      Instant now = clock.instant();
      if (!now.isBefore(request.deadline())) {
        giveUp();
        return;
      }
      Optional<PeerAddress> target = target(hint);
      if (target.isEmpty()) {
        retry(null);
        return;
      }
      PeerAddress peer = target.get();
      if (peer.instance().equals(fleet.self().instance())) {
        localHome.submit(request).thenAccept(o -> answered(peer, o));
        return;
      }
      Duration wait = Duration.between(now, request.deadline()).plus(ANSWER_GRACE);
      client
          .ask(
              peer,
              RelayFrame.newBuilder().setRequest(RelayCodec.requestMessage(request, now)),
              wait)
          .thenAccept(r -> arrived(peer, r));
    }

    private Optional<PeerAddress> target(@Nullable String hint) {
      List<PeerAddress> candidates = fleet.candidates(request.group());
      String pinned = request.transaction() == null ? hint : pinnedInstance();
      if (pinned != null) {
        Optional<PeerAddress> named =
            candidates.stream().filter(p -> p.instance().equals(pinned)).findFirst();
        if (named.isPresent() || request.transaction() != null) {
          return named;
        }
      }
      return candidates.isEmpty()
          ? Optional.empty()
          : Optional.of(candidates.get(attempts % candidates.size()));
    }

    private String pinnedInstance() {
      String handle = String.valueOf(request.transaction());
      return TransactionHandle.parse(handle).map(TransactionHandle::instance).orElse("");
    }

    private void arrived(PeerAddress peer, RelayResult result) {
      if (result instanceof RelayResult.Answered a && a.frame().hasOutcome()) {
        answered(peer, RelayCodec.toOutcome(a.frame().getOutcome()));
      } else if (result instanceof RelayResult.NotSent n) {
        lastObstacle = n.reason();
        retry(null);
      } else if (result instanceof RelayResult.Lost l) {
        lost(l.reason());
      } else {
        lost("an answer without an outcome from " + peer);
      }
    }

    private void lost(String reason) {
      lostAnswers.mark();
      lastObstacle = reason;
      doubtful = true;
      if (maySendAgain()) {
        retry(null);
        return;
      }
      Logger.warn("request {}: outcome unknown: {}", request.requestId(), reason);
      complete(new Outcome.Unknown(RETRY_AFTER, reason));
    }

    private boolean maySendAgain() {
      return switch (request.kind()) {
        case READ, BEGIN, ROLLBACK -> true;
        case WRITE -> request.repeatable() || request.idempotencyKey() != null;
        case CONTINUE, COMMIT -> false;
      };
    }

    private void answered(PeerAddress peer, Outcome o) {
      if (o instanceof Outcome.NotRun n && isElsewhere(n.reason())) {
        redirects.mark();
        lastObstacle = peer.instance() + ": " + n.detail();
        lastHome.remove(request.group(), peer.instance());
        retry(n.detail());
        return;
      }
      lastHome.put(request.group(), peer.instance());
      complete(o);
    }

    /** After a lost answer an earlier try may have run, whatever became of the last one. */
    private void complete(Outcome o) {
      if (doubtful && o instanceof Outcome.NotRun n) {
        outcome.complete(new Outcome.Unknown(n.retryAfter(), lastObstacle + "; " + n.detail()));
        return;
      }
      outcome.complete(o);
    }

    private boolean isElsewhere(NotRunReason reason) {
      return reason == NotRunReason.NOT_HOME
          || (reason == NotRunReason.SHUTTING_DOWN && request.transaction() == null);
    }

    private void retry(@Nullable String hint) {
      if (request.transaction() != null) {
        complete(
            new Outcome.NotRun(
                NotRunReason.UNKNOWN_TRANSACTION, Duration.ZERO, "its home is gone"));
        return;
      }
      attempts++;
      long limit =
          Math.min(FIRST_BACKOFF.toMillis() << Math.min(attempts, 10), BACKOFF_LIMIT.toMillis());
      long delay = 1 + ThreadLocalRandom.current().nextLong(limit);
      if (clock.instant().plusMillis(delay).isAfter(request.deadline())) {
        giveUp();
        return;
      }
      scheduler.schedule(() -> next(hint), delay, TimeUnit.MILLISECONDS);
    }

    private void giveUp() {
      complete(new Outcome.NotRun(NotRunReason.HOME_UNREACHABLE, RETRY_AFTER, lastObstacle));
    }
  }
}

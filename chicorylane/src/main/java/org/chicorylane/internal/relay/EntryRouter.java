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
 * Routes an entry's requests to the home of their database group, on this or another instance.
 *
 * <pre>{@code
 * GroupService service = new EntryRouter(fleet, client, home, scheduler, clock, metrics);
 * service.submit(request).thenAccept(outcome -> ...);
 * }</pre>
 *
 * <p>A request that was not run because the receiving instance is not the home is sent to another
 * candidate, with random exponential backoff, until its deadline. A request whose answer was lost
 * is sent again only if it reads, begins or rolls back a transaction, is a write that is repeatable
 * or carries an idempotency key; otherwise its outcome is unknown. Thread-safe.
 */
public final class EntryRouter implements GroupService {
  /** Doubled with each attempt; each delay is a random part of the result. */
  private static final Duration BASE_BACKOFF = Duration.ofMillis(5);

  private static final Duration MAX_BACKOFF = Duration.ofMillis(100);

  /** Time after a request's deadline in which the home's answer is still accepted. */
  private static final Duration ANSWER_GRACE = Duration.ofMillis(250);

  /** When the caller should ask again after an unknown outcome or an unreachable home. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  private final Fleet fleet;
  private final RelayClient client;
  private final GroupService localHome;
  private final ScheduledExecutorService scheduler;
  private final InstantSource clock;
  private final Meter redirects;
  private final Meter lostAnswers;
  private final Map<String, String> lastKnownHomes = new ConcurrentHashMap<>();

  /**
   * Creates a router.
   *
   * @param fleet the instances
   * @param client sends requests to other instances
   * @param localHome serves the groups whose home is this instance
   * @param scheduler runs delayed attempts
   * @param clock the clock of the requests' deadlines
   * @param metrics the registry for the meters of redirects and lost answers
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
    new RoutedRequest(request, outcome).attempt(lastKnownHomes.get(request.group()));
    return outcome;
  }

  /** One request and its attempts, of which only one is in progress at a time. */
  private final class RoutedRequest {
    private final GroupRequest request;
    private final CompletableFuture<Outcome> outcome;
    private int attempts;
    private boolean mayHaveRun;
    private String lastFailure = "no instance is known";

    RoutedRequest(GroupRequest request, CompletableFuture<Outcome> outcome) {
      this.request = request;
      this.outcome = outcome;
    }

    /**
     * Starts an attempt.
     *
     * @param preferredInstance the id of the presumed home, null if not known
     */
    void attempt(@Nullable String preferredInstance) {
      Instant now = clock.instant();
      if (!now.isBefore(request.deadline())) {
        giveUp();
        return;
      }
      Optional<PeerAddress> target = chooseTarget(preferredInstance);
      if (target.isEmpty()) {
        retry(null);
        return;
      }
      PeerAddress peer = target.get();
      if (peer.instance().equals(fleet.self().instance())) {
        localHome.submit(request).thenAccept(o -> onOutcome(peer, o));
        return;
      }
      Duration wait = Duration.between(now, request.deadline()).plus(ANSWER_GRACE);
      client
          .ask(
              peer,
              RelayFrame.newBuilder().setRequest(RelayCodec.requestMessage(request, now)),
              wait)
          .thenAccept(r -> onResult(peer, r));
    }

    /**
     * Returns the instance to ask: the one that runs the transaction, else the preferred one, else
     * the next candidate.
     */
    private Optional<PeerAddress> chooseTarget(@Nullable String preferredInstance) {
      List<PeerAddress> candidates = fleet.candidates(request.group());
      String preferred = request.transaction() == null ? preferredInstance : transactionInstance();
      if (preferred != null) {
        Optional<PeerAddress> named =
            candidates.stream().filter(p -> p.instance().equals(preferred)).findFirst();
        if (named.isPresent() || request.transaction() != null) {
          return named;
        }
      }
      return candidates.isEmpty()
          ? Optional.empty()
          : Optional.of(candidates.get(attempts % candidates.size()));
    }

    private String transactionInstance() {
      String handle = String.valueOf(request.transaction());
      return TransactionHandle.parse(handle).map(TransactionHandle::instance).orElse("");
    }

    private void onResult(PeerAddress peer, RelayResult result) {
      if (result instanceof RelayResult.Answered a && a.frame().hasOutcome()) {
        onOutcome(peer, RelayCodec.toOutcome(a.frame().getOutcome()));
      } else if (result instanceof RelayResult.NotSent n) {
        lastFailure = n.reason();
        retry(null);
      } else if (result instanceof RelayResult.Lost l) {
        onAnswerLost(l.reason());
      } else {
        onAnswerLost("an answer without an outcome from " + peer);
      }
    }

    private void onAnswerLost(String reason) {
      lostAnswers.mark();
      lastFailure = reason;
      mayHaveRun = true;
      if (canResend()) {
        retry(null);
        return;
      }
      Logger.warn("request {}: outcome unknown: {}", request.requestId(), reason);
      complete(new Outcome.Unknown(RETRY_AFTER, reason));
    }

    private boolean canResend() {
      return switch (request.kind()) {
        case READ, BEGIN, ROLLBACK -> true;
        case WRITE -> request.repeatable() || request.idempotencyKey() != null;
        case CONTINUE, COMMIT -> false;
      };
    }

    private void onOutcome(PeerAddress peer, Outcome o) {
      if (o instanceof Outcome.NotRun n && isRedirect(n.reason())) {
        redirects.mark();
        lastFailure = peer.instance() + ": " + n.detail();
        lastKnownHomes.remove(request.group(), peer.instance());
        retry(n.detail());
        return;
      }
      lastKnownHomes.put(request.group(), peer.instance());
      complete(o);
    }

    /**
     * Completes the request. After a lost answer, an outcome of "not run" becomes unknown, because
     * an earlier attempt may have run.
     */
    private void complete(Outcome o) {
      if (mayHaveRun && o instanceof Outcome.NotRun n) {
        outcome.complete(new Outcome.Unknown(n.retryAfter(), lastFailure + "; " + n.detail()));
        return;
      }
      outcome.complete(o);
    }

    /** Returns whether another instance may run the request. */
    private boolean isRedirect(NotRunReason reason) {
      return reason == NotRunReason.NOT_HOME
          || (reason == NotRunReason.SHUTTING_DOWN && request.transaction() == null);
    }

    private void retry(@Nullable String preferredInstance) {
      if (request.transaction() != null) {
        complete(
            new Outcome.NotRun(
                NotRunReason.UNKNOWN_TRANSACTION, Duration.ZERO, "its home is gone"));
        return;
      }
      attempts++;
      long limit =
          Math.min(BASE_BACKOFF.toMillis() << Math.min(attempts, 10), MAX_BACKOFF.toMillis());
      long delay = 1 + ThreadLocalRandom.current().nextLong(limit);
      if (clock.instant().plusMillis(delay).isAfter(request.deadline())) {
        giveUp();
        return;
      }
      scheduler.schedule(() -> attempt(preferredInstance), delay, TimeUnit.MILLISECONDS);
    }

    private void giveUp() {
      complete(new Outcome.NotRun(NotRunReason.HOME_UNREACHABLE, RETRY_AFTER, lastFailure));
    }
  }
}

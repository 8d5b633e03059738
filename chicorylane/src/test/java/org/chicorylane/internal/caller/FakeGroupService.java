package org.chicorylane.internal.caller;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.GroupService;
import org.chicorylane.internal.statement.SqlValue;
import org.chicorylane.internal.statement.StatementResult;
import org.jspecify.annotations.Nullable;

/** Service that answers requests by a function, or leaves them pending for the test to complete. */
final class FakeGroupService implements GroupService {

  /** A request that the test must complete. */
  record Pending(GroupRequest request, CompletableFuture<Outcome> outcome) {}

  private static final long TIMEOUT_SECONDS = 10;

  private final BlockingQueue<Pending> pending = new LinkedBlockingQueue<>();
  private volatile @Nullable Function<GroupRequest, Outcome> responder;

  /** Completes every further request immediately with the outcome from a function. */
  void respondWith(Function<GroupRequest, Outcome> function) {
    responder = function;
  }

  /** Returns the next pending request; waits for one if there is none. */
  Pending next() throws InterruptedException {
    Pending p = pending.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    if (p == null) {
      throw new AssertionError("no request reached the service before the timeout");
    }
    return p;
  }

  /** Returns whether no request is pending. */
  boolean isIdle() {
    return pending.isEmpty();
  }

  @Override
  public CompletableFuture<Outcome> submit(GroupRequest request) {
    Function<GroupRequest, Outcome> function = responder;
    if (function != null) {
      return CompletableFuture.completedFuture(function.apply(request));
    }
    Pending p = new Pending(request, new CompletableFuture<>());
    pending.add(p);
    return p.outcome();
  }

  /** Returns an outcome with a single row that contains {@code text}. */
  static Outcome completed(String text, @Nullable LogPosition position) {
    StatementResult result =
        new StatementResult(List.of("text"), List.of(List.of(new SqlValue.Text(text))), 1);
    return new Outcome.Completed(List.of(result), position, false, "s1", false, null);
  }

  /** Returns an outcome with a single row that contains the first statement of the request. */
  static Outcome echo(GroupRequest request) {
    return completed(request.statements().get(0).sql(), null);
  }
}

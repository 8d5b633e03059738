package org.chicorylane.internal.home;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.backend.ServerConnection;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.relay.GroupRequest;
import org.jspecify.annotations.Nullable;

/**
 * A request at the home of its group that is waiting or running. It is completed with exactly one
 * outcome; later outcomes are ignored.
 *
 * <p>Used on the group's executor only; the outcome may be awaited on any thread.
 */
final class PendingRequest {
  private final String id;
  private final GroupRequest request;
  private final Instant arrival;
  private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
  private @Nullable ServerConnection connection;
  private boolean running;
  private long term;
  private int routingEpoch;

  PendingRequest(String id, GroupRequest request, Instant arrival) {
    this.id = id;
    this.request = request;
    this.arrival = arrival;
  }

  String id() {
    return id;
  }

  GroupRequest request() {
    return request;
  }

  Instant arrival() {
    return arrival;
  }

  CompletableFuture<Outcome> outcome() {
    return outcome;
  }

  /** Returns the term in which the request was dispatched; 0 if it was not. */
  long term() {
    return term;
  }

  void setTerm(long dispatchTerm) {
    term = dispatchTerm;
  }

  /**
   * Returns the {@link ReadRouting} epoch in which the request was dispatched; 0 if it was not
   * recorded there as a possible write.
   */
  int routingEpoch() {
    return routingEpoch;
  }

  void setRoutingEpoch(int epoch) {
    routingEpoch = epoch;
  }

  boolean isDone() {
    return outcome.isDone();
  }

  /** Records the backend connection that the request's statements are about to be sent on. */
  void markSent(ServerConnection backend) {
    connection = backend;
    running = true;
  }

  boolean wasSent() {
    return connection != null;
  }

  /** Records that the request no longer occupies its connection. */
  void markConnectionFree() {
    running = false;
  }

  /**
   * Closes the connection if the request still occupies it, since its answer is no longer needed.
   */
  void closeConnectionIfRunning() {
    if (connection != null && running) {
      connection.close();
    }
  }

  void complete(Outcome result) {
    outcome.complete(result);
  }

  /**
   * Completes the request as not run, if it has no outcome yet.
   *
   * @throws IllegalStateException if the request was sent on a backend connection; it may have run
   */
  void refuse(NotRunReason reason, Duration retryAfter, String detail) {
    if (isDone()) {
      return;
    }
    if (wasSent()) {
      throw new IllegalStateException("request " + request.requestId() + " was sent already");
    }
    outcome.complete(new Outcome.NotRun(reason, retryAfter, detail));
  }

  /** Completes the request with an unknown outcome: it may or may not have run. */
  void completeUnknown(Duration retryAfter, String detail) {
    outcome.complete(new Outcome.Unknown(retryAfter, detail));
  }
}

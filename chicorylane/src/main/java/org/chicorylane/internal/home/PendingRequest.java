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
 * A request at its home, until it has its one outcome.
 *
 * <p>Used on the group's executor only; the outcome may be awaited anywhere.
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

  /** Returns the term in which it was dispatched. */
  long term() {
    return term;
  }

  void setTerm(long dispatchTerm) {
    term = dispatchTerm;
  }

  /** Returns the routing epoch in which it was dispatched; 0 if it was not. */
  int routingEpoch() {
    return routingEpoch;
  }

  void setRoutingEpoch(int epoch) {
    routingEpoch = epoch;
  }

  boolean isDone() {
    return outcome.isDone();
  }

  /** Notes the backend connection that the request's statements are being given to. */
  void markSent(ServerConnection backend) {
    connection = backend;
    running = true;
  }

  boolean wasSent() {
    return connection != null;
  }

  /** Notes that the connection is free for others. */
  void markConnectionFree() {
    running = false;
  }

  /** Ends the connection if the request still occupies it: nobody waits for its answer. */
  void closeConnectionIfRunning() {
    if (connection != null && running) {
      connection.close();
    }
  }

  void complete(Outcome result) {
    outcome.complete(result);
  }

  /**
   * Ends the request as not run, if it has no outcome yet.
   *
   * @throws IllegalStateException if it was given to a backend connection: then nobody may say so
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

  /** Ends the request with an outcome that cannot be told. */
  void completeUnknown(Duration retryAfter, String detail) {
    outcome.complete(new Outcome.Unknown(retryAfter, detail));
  }
}

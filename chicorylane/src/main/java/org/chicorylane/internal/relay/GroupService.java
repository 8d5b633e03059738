package org.chicorylane.internal.relay;

import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.outcome.Outcome;

/** Serves requests to database groups. */
@FunctionalInterface
public interface GroupService {

  /**
   * Submits a request.
   *
   * @return completes with the outcome, never exceptionally, by the request's deadline
   */
  CompletableFuture<Outcome> submit(GroupRequest request);
}

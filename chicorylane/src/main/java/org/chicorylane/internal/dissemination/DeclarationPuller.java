package org.chicorylane.internal.dissemination;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.membership.Member;

/** Asks another instance for the declarations that it has in force. Thread-safe. */
public interface DeclarationPuller {

  /**
   * Asks {@code peer} for its snapshot.
   *
   * @param revision the revision that this instance has
   * @return completes normally within a timeout: the peer's snapshot, or empty if it did not answer
   */
  CompletableFuture<Optional<DeclarationSnapshot>> pull(Member peer, long revision);
}

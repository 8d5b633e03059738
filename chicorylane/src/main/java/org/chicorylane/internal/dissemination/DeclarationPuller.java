package org.chicorylane.internal.dissemination;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.chicorylane.internal.membership.Member;

/** Requests the declarations in force from another instance. Thread-safe. */
public interface DeclarationPuller {

  /**
   * Requests the snapshot of {@code peer}.
   *
   * @param revision the revision that this instance has in force
   * @return a future that completes normally within a timeout, with the peer's snapshot or with
   *     empty if the peer did not answer
   */
  CompletableFuture<Optional<DeclarationSnapshot>> pull(Member peer, long revision);
}

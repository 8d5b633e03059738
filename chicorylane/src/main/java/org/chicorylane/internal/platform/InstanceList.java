package org.chicorylane.internal.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of instances, which lags behind the truth.
 *
 * <p>Implementations are thread-safe.
 */
public interface InstanceList {

  /** What became of a read of the list. */
  sealed interface ListResult {}

  /**
   * The platform answered.
   *
   * @param instances the instances listed; entries that could not be read are left out
   */
  record Listed(List<ListedInstance> instances) implements ListResult {

    /** Copies the list. */
    public Listed {
      instances = List.copyOf(instances);
    }
  }

  /**
   * No usable answer came.
   *
   * @param reason why, for people
   */
  record Unavailable(String reason) implements ListResult {}

  /** Reads the list; the future always completes normally, within the client's timeout. */
  CompletableFuture<ListResult> list();
}

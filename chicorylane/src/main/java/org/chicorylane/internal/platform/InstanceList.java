package org.chicorylane.internal.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of instances. It is eventually consistent: it may still contain instances
 * that have stopped, and lack ones that have just started.
 *
 * <p>Implementations are thread-safe.
 */
public interface InstanceList {

  /** The result of reading the list. */
  sealed interface ListResult {}

  /**
   * The platform answered.
   *
   * @param instances the instances listed; incomplete entries are left out
   */
  record Listed(List<ListedInstance> instances) implements ListResult {

    /** Copies the list. */
    public Listed {
      instances = List.copyOf(instances);
    }
  }

  /**
   * The platform sent no usable answer.
   *
   * @param reason the reason, for people to read
   */
  record Unavailable(String reason) implements ListResult {}

  /** Reads the list. The future always completes normally, within the client's timeout. */
  CompletableFuture<ListResult> list();
}

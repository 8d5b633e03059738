package org.chicorylane.internal.caller;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Progress of the drain of a server. Thread-safe.
 *
 * <p>Connections read it when they are set up and when they send a response. {@link Event} notifies
 * the connections that are open when the server starts to close them.
 */
final class DrainState {

  /** Event that is fired in the pipelines of open connections during a drain. */
  enum Event {
    /** Connections end after their requests in flight. */
    CLOSE_CONNECTIONS
  }

  private final AtomicBoolean announced = new AtomicBoolean();
  private volatile boolean closing;

  /**
   * Starts the drain. The readiness check fails from now on.
   *
   * @return true for the first call
   */
  boolean announce() {
    return announced.compareAndSet(false, true);
  }

  /** Makes connections end after their requests in flight. */
  void startClosing() {
    announced.set(true);
    closing = true;
  }

  boolean isAnnounced() {
    return announced.get();
  }

  boolean isClosing() {
    return closing;
  }
}

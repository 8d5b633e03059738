package org.chicorylane.internal.caller;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * How far the drain of a server has come. Thread-safe.
 *
 * <p>Connections read it when they are set up and when they answer; {@link Event} tells those that
 * exist when it begins.
 */
final class DrainState {

  /** Fired through the pipelines of open connections when the drain begins. */
  enum Event {
    /** From now on, connections end after what they have in flight. */
    CLOSE_CONNECTIONS
  }

  private final AtomicBoolean announced = new AtomicBoolean();
  private volatile boolean closing;

  /**
   * The readiness check fails from now on.
   *
   * @return whether this is the first call
   */
  boolean announce() {
    return announced.compareAndSet(false, true);
  }

  /** Connections end from now on. */
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

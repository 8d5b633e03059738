package org.chicorylane.standin.database;

/**
 * Stops the threads that work for a frozen server until it thaws or ends.
 *
 * <p>Thread-safe.
 */
final class FreezeGate {

  private boolean frozen;

  synchronized void freeze() {
    frozen = true;
  }

  synchronized void open() {
    frozen = false;
    notifyAll();
  }

  synchronized boolean frozen() {
    return frozen;
  }

  /** Returns once the server is not frozen. */
  synchronized void pass() {
    boolean interrupted = false;
    while (frozen) {
      try {
        wait();
      } catch (InterruptedException e) {
        interrupted = true;
      }
    }
    if (interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}

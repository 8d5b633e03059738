package org.chicorylane.standin.database;

import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * The slots of a server: bounds how many statements run at the same time and records the demand.
 *
 * <p>Thread-safe. Waiting statements get a slot in the order of their arrival. A statement whose
 * transaction holds locks runs without a slot after {@link #LOCK_HOLDER_PATIENCE}, because those
 * that occupy the slots may all be waiting for its locks.
 */
final class SlotGate {

  private static final Duration LOCK_HOLDER_PATIENCE = Duration.ofMillis(100);

  private final Semaphore slots;
  private int demand;
  private int peakDemand;

  SlotGate(int count) {
    slots = new Semaphore(count, true);
  }

  /**
   * Waits for a slot.
   *
   * @return whether a slot is occupied, which {@link #leave} has to be told
   */
  boolean enter(boolean holdsLocks) {
    synchronized (this) {
      demand++;
      peakDemand = Math.max(peakDemand, demand);
    }
    if (!holdsLocks) {
      slots.acquireUninterruptibly();
      return true;
    }
    try {
      return slots.tryAcquire(LOCK_HOLDER_PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  void leave(boolean occupied) {
    if (occupied) {
      slots.release();
    }
    synchronized (this) {
      demand--;
    }
  }

  /** Returns the highest number of statements that ran or waited for a slot at the same time. */
  synchronized int peakDemand() {
    return peakDemand;
  }

  synchronized void resetPeak() {
    peakDemand = demand;
  }
}

package org.chicorylane.standin.database;

import java.util.concurrent.Semaphore;

/**
 * The slots of a server: bounds how many statements run at the same time and records the demand.
 *
 * <p>Thread-safe. Waiting statements get a slot in the order of their arrival.
 */
final class SlotGate {

  private final Semaphore slots;
  private int demand;
  private int peakDemand;

  SlotGate(int count) {
    slots = new Semaphore(count, true);
  }

  void enter() {
    synchronized (this) {
      demand++;
      peakDemand = Math.max(peakDemand, demand);
    }
    slots.acquireUninterruptibly();
  }

  void leave() {
    slots.release();
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

package org.chicorylane.internal.mesh;

/**
 * Estimates by how much a frame of one connection was held up on its way, in either process or
 * between them: by how much the difference between the receiver's time of arrival and the sender's
 * time of sending exceeds the smallest one seen. The two clocks need no common origin.
 *
 * <pre>{@code
 * TransitDelay delay = new TransitDelay();
 * long heldUpMillis = delay.recordArrival(frame.getSentMillis(), nowMillis);
 * }</pre>
 *
 * <p>The first frame of a connection counts as not held up. Not thread-safe.
 */
public final class TransitDelay {

  /** Milliseconds per second by which two clocks may drift apart; crystals differ by far less. */
  private static final double MAX_DRIFT_MILLIS_PER_SECOND = 0.2;

  private boolean hasReference;
  private double smallestDifference;
  private long referenceMillis;

  /**
   * Records the arrival of a frame and returns by how many milliseconds it was held up.
   *
   * @param sentMillis time at which the frame was sent, by the sender's clock; 0 if unknown
   * @param nowMillis time at which it arrived, by the receiver's clock
   */
  public int recordArrival(long sentMillis, long nowMillis) {
    if (sentMillis == 0) {
      return 0;
    }
    long difference = nowMillis - sentMillis;
    double drift = (nowMillis - referenceMillis) / 1e3 * MAX_DRIFT_MILLIS_PER_SECOND;
    if (!hasReference || difference < smallestDifference + drift) {
      hasReference = true;
      smallestDifference = difference;
      referenceMillis = nowMillis;
      return 0;
    }
    return (int) Math.min(Integer.MAX_VALUE, Math.round(difference - smallestDifference - drift));
  }
}

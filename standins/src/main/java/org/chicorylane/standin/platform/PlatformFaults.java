package org.chicorylane.standin.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Fault injection for a running stand-in. Tests may set and end faults at any time.
 *
 * <pre>{@code
 * platform.faults().loseNextAnswers(1); // the call takes effect, its answer is lost
 * platform.faults().slow(Duration.ofMillis(200));
 * platform.faults().heal();
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class PlatformFaults {

  private final Random random;
  private final List<Runnable> heldWork = new ArrayList<>();
  private boolean down;
  private boolean frozen;
  private Duration delay = Duration.ZERO;
  private int answersToLose;
  private double lossProbability;
  private Runnable onDown = () -> {};
  private Runnable onSilence = () -> {};

  PlatformFaults(long seed) {
    random = new Random(seed);
  }

  /** Resets all open connections, and new ones until {@link #heal}. */
  public void takeDown() {
    Runnable reset;
    synchronized (this) {
      down = true;
      reset = onDown;
    }
    reset.run();
  }

  /**
   * Makes all open connections drop whatever they receive and send. They stay open and {@link
   * #heal} does not restore them; new connections work.
   */
  public void silenceOpenConnections() {
    Runnable silence;
    synchronized (this) {
      silence = onSilence;
    }
    silence.run();
  }

  /**
   * Holds back requests and watch events, with connections open, until {@link #heal}, which
   * processes them.
   */
  public synchronized void freeze() {
    frozen = true;
  }

  /** Delays the processing of each call by {@code newDelay}. */
  public synchronized void slow(Duration newDelay) {
    delay = newDelay;
  }

  /**
   * Loses the next {@code count} answers: each call takes effect, then its connection is closed
   * without an answer.
   */
  public synchronized void loseNextAnswers(int count) {
    answersToLose = count;
  }

  /** Loses each answer with {@code probability}, from 0 to 1, after its call has taken effect. */
  public synchronized void loseAnswers(double probability) {
    lossProbability = probability;
  }

  /**
   * Ends all faults except those of {@link #silenceOpenConnections}, and processes the requests and
   * watch events that a freeze held back, in the order in which they were held.
   */
  public void heal() {
    List<Runnable> toRun;
    synchronized (this) {
      down = false;
      frozen = false;
      delay = Duration.ZERO;
      answersToLose = 0;
      lossProbability = 0;
      toRun = List.copyOf(heldWork);
      heldWork.clear();
    }
    toRun.forEach(Runnable::run);
  }

  /** Sets the action that resets all open connections. */
  synchronized void onDown(Runnable action) {
    onDown = action;
  }

  /** Sets the action that silences all open connections. */
  synchronized void onSilence(Runnable action) {
    onSilence = action;
  }

  synchronized boolean isDown() {
    return down;
  }

  synchronized Duration delay() {
    return delay;
  }

  /** Runs {@code work} now, or when {@link #heal} ends a freeze. */
  void runOrHold(Runnable work) {
    synchronized (this) {
      if (frozen) {
        heldWork.add(work);
        return;
      }
    }
    work.run();
  }

  /** Decides whether the next answer is lost; counts it against {@link #loseNextAnswers}. */
  synchronized boolean decideAnswerLoss() {
    if (answersToLose > 0) {
      answersToLose--;
      return true;
    }
    return lossProbability > 0 && random.nextDouble() < lossProbability;
  }
}

package org.chicorylane.standin.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The faults that a running stand-in shows, set by tests at any time.
 *
 * <pre>{@code
 * platform.faults().loseNextAnswers(1); // the effect happens, the answer is lost
 * platform.faults().slow(Duration.ofMillis(200));
 * platform.faults().heal();
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class PlatformFaults {

  private final Random random;
  private final List<Runnable> held = new ArrayList<>();
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

  /** Resets every open and new connection until {@link #heal}. */
  public void takeDown() {
    Runnable reset;
    synchronized (this) {
      down = true;
      reset = onDown;
    }
    reset.run();
  }

  /** Makes all open connections silent for good; new ones work. */
  public void silenceOpenConnections() {
    Runnable silence;
    synchronized (this) {
      silence = onSilence;
    }
    silence.run();
  }

  /** Keeps connections open and requests unprocessed until {@link #heal}, which processes them. */
  public synchronized void freeze() {
    frozen = true;
  }

  /** Delays the effect of each call by {@code newDelay}. */
  public synchronized void slow(Duration newDelay) {
    delay = newDelay;
  }

  /** Loses the next {@code count} answers after their calls took effect. */
  public synchronized void loseNextAnswers(int count) {
    answersToLose = count;
  }

  /** Loses each answer with {@code probability}, between 0 and 1, after its call took effect. */
  public synchronized void loseAnswers(double probability) {
    lossProbability = probability;
  }

  /** Ends all faults; what a freeze held back is processed now, in order. */
  public void heal() {
    List<Runnable> released;
    synchronized (this) {
      down = false;
      frozen = false;
      delay = Duration.ZERO;
      answersToLose = 0;
      lossProbability = 0;
      released = List.copyOf(held);
      held.clear();
    }
    released.forEach(Runnable::run);
  }

  synchronized void onDown(Runnable action) {
    onDown = action;
  }

  synchronized void onSilence(Runnable action) {
    onSilence = action;
  }

  synchronized boolean isDown() {
    return down;
  }

  synchronized Duration delay() {
    return delay;
  }

  /** Runs {@code work} now, or at the end of the freeze. */
  void passOrHold(Runnable work) {
    synchronized (this) {
      if (frozen) {
        held.add(work);
        return;
      }
    }
    work.run();
  }

  synchronized boolean losesThisAnswer() {
    if (answersToLose > 0) {
      answersToLose--;
      return true;
    }
    return lossProbability > 0 && random.nextDouble() < lossProbability;
  }
}

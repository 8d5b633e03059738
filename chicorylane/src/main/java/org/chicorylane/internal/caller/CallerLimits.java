package org.chicorylane.internal.caller;

/**
 * Every limit of the HTTP edge.
 *
 * @param sizes how large the parts of a request may be
 * @param load how much is taken at the same time
 * @param times how long either side waits
 */
public record CallerLimits(SizeLimits sizes, LoadLimits load, TimeLimits times) {

  /** Returns the limits of an instance whose settings say nothing of them. */
  public static CallerLimits defaults() {
    return new CallerLimits(SizeLimits.defaults(), LoadLimits.defaults(), TimeLimits.defaults());
  }
}

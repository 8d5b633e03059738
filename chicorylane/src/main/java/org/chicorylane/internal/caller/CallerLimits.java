package org.chicorylane.internal.caller;

/**
 * Limits of the HTTP server.
 *
 * @param sizes maximum sizes of the parts of a request
 * @param load maximum concurrent load
 * @param times timeouts and deadlines
 */
public record CallerLimits(SizeLimits sizes, LoadLimits load, TimeLimits times) {

  /** Returns the limits that apply if the settings contain none. */
  public static CallerLimits defaults() {
    return new CallerLimits(SizeLimits.defaults(), LoadLimits.defaults(), TimeLimits.defaults());
  }
}

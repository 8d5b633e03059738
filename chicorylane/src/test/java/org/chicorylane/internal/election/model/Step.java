package org.chicorylane.internal.election.model;

/**
 * A step of the model. Each may happen whenever it is enabled, so that unreachable servers, delays
 * and suspensions are runs in which a step does not happen for a while.
 */
sealed interface Step permits GroupStep, HomeStep {

  /** Returns what the step's first number stands for. */
  Range first();

  /** Returns what the step's second number stands for. */
  Range second();

  /** Returns a text in plain words, with {a} and {b} in place of the numbers. */
  String text();

  boolean isEnabled(ModelState s, ModelRules rules, int a, int b);

  /** Changes the state, in which the step is enabled, to the next one. */
  void apply(ModelState s, ModelRules rules, int a, int b);

  /** Returns whether recovery must not depend on the step, because it is a fault or mere luck. */
  default boolean isFault() {
    return false;
  }

  /** Returns the step in plain words. */
  default String describe(int a, int b) {
    return text().replace("{a}", first().name(a)).replace("{b}", second().name(b));
  }
}

package org.chicorylane.internal.pool;

import org.chicorylane.internal.passthrough.Answer;

/** Takes the outcome of a piece of work, once. */
public interface WorkHandler {

  /** The work is answered. */
  void onAnswer(Answer answer);

  /** This instance is not the home; nothing ran. */
  void onNotHome();
}

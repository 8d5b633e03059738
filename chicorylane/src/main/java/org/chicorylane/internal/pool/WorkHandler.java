package org.chicorylane.internal.pool;

import org.chicorylane.internal.passthrough.Answer;

/** Callback that receives the outcome of a piece of work, once. */
public interface WorkHandler {

  /** Called when the work has been answered, with success or failure. */
  void onAnswer(Answer answer);

  /** Called when this instance is not the home; nothing was run. */
  void onNotHome();
}

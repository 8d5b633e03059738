package org.chicorylane.internal.relay;

import org.chicorylane.internal.relay.generated.RelayFrame;

/** The result of a question to another instance. */
public sealed interface RelayResult {

  /**
   * The instance has answered.
   *
   * @param frame the answer
   */
  record Answered(RelayFrame frame) implements RelayResult {}

  /**
   * The question was not sent, so it had no effect.
   *
   * @param reason the cause, readable by people
   */
  record NotSent(String reason) implements RelayResult {}

  /**
   * The question was sent but not answered; it may have had an effect.
   *
   * @param reason the cause, readable by people
   */
  record Lost(String reason) implements RelayResult {}
}

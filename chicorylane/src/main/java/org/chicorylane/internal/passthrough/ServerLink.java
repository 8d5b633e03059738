package org.chicorylane.internal.passthrough;

/**
 * An open connection to a backend server. Commands are answered in the order in which they are
 * sent.
 *
 * <p>Confined to the instance's thread. {@link #send} never calls a handler itself.
 */
public interface ServerLink {

  /** Sends a command; the handler receives its answer or its loss. */
  void send(ServerCommand command, AnswerHandler handler);

  /**
   * Returns whether the connection may serve another client: each of its answers so far can be told
   * from a copy of an earlier one.
   */
  default boolean isReusable() {
    return true;
  }

  /**
   * Closes the connection; the server rolls back its open transaction. The handlers of unanswered
   * commands get {@link AnswerHandler#onLost}.
   */
  void close();

  /** Receives the answer to one command. */
  interface AnswerHandler {
    /** The server answered. */
    void onAnswer(Answer answer);

    /** The connection ended before the complete answer arrived. */
    void onLost();
  }
}

package org.chicorylane.internal.passthrough;

/**
 * An open connection to a backend server. Commands are answered in the order sent.
 *
 * <p>Confined to the instance's thread; no handler is called within {@link #send}.
 */
public interface ServerLink {

  /** Sends a command. */
  void send(ServerCommand command, AnswerHandler handler);

  /** Closes the connection; the server rolls back. Open handlers are told that it is lost. */
  void close();

  /** Takes the answer to one command. */
  interface AnswerHandler {
    /** The server answered. */
    void onAnswer(Answer answer);

    /** The connection ended before the whole answer came. */
    void onLost();
  }
}

package org.chicorylane.internal.passthrough;

import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/** A command that an instance sends to a backend server on an open connection. */
public sealed interface ServerCommand {

  /** Returns the id of the client's request, null if the proxy sends the command for itself. */
  default @Nullable String requestId() {
    return null;
  }

  /** Returns the kind of the command's success. */
  AnswerKind answerKind();

  /** Returns the transaction state after the command's success. */
  default TransactionState stateAfter(TransactionState before) {
    return before;
  }

  /**
   * A client's statement with its text unchanged; the server refuses it if its log has not reached
   * {@code floor}, which is null for none.
   */
  record Forward(String requestId, @Nullable LogPosition floor, String text)
      implements ServerCommand {
    @Override
    public AnswerKind answerKind() {
      return AnswerKind.SIGNED;
    }
  }

  /** Runs a client's prepared statement under the name that it has on this connection. */
  record Execute(
      String requestId, @Nullable LogPosition floor, String preparedName, String arguments)
      implements ServerCommand {
    @Override
    public AnswerKind answerKind() {
      return AnswerKind.SIGNED;
    }
  }

  /** Commits a client's transaction. */
  record Commit(String requestId) implements ServerCommand {
    @Override
    public AnswerKind answerKind() {
      return AnswerKind.SIGNED;
    }

    @Override
    public TransactionState stateAfter(TransactionState before) {
      return TransactionState.IDLE;
    }
  }

  /** Begins a transaction; the server refuses it if its log has not reached {@code floor}. */
  record Begin(boolean readOnly, @Nullable LogPosition floor) implements ServerCommand {
    @Override
    public AnswerKind answerKind() {
      return AnswerKind.BEGIN;
    }

    @Override
    public TransactionState stateAfter(TransactionState before) {
      return TransactionState.OPEN;
    }
  }

  /** Rolls back the transaction. */
  record Rollback() implements ServerCommand {
    @Override
    public AnswerKind answerKind() {
      return AnswerKind.ACKNOWLEDGEMENT;
    }

    @Override
    public TransactionState stateAfter(TransactionState before) {
      return TransactionState.IDLE;
    }
  }

  /** Sets a session value. */
  record SetValue(String name, String value) implements ServerCommand {
    @Override
    public AnswerKind answerKind() {
      return AnswerKind.ACKNOWLEDGEMENT;
    }
  }

  /** Prepares a statement. */
  record Prepare(String name, StatementTemplate template) implements ServerCommand {
    @Override
    public AnswerKind answerKind() {
      return AnswerKind.ACKNOWLEDGEMENT;
    }
  }

  /** Clears session values and prepared statements. */
  record Reset() implements ServerCommand {
    @Override
    public AnswerKind answerKind() {
      return AnswerKind.ACKNOWLEDGEMENT;
    }
  }

  /** Asks for the server's role, term and positions. */
  record Status() implements ServerCommand {
    @Override
    public AnswerKind answerKind() {
      return AnswerKind.STATUS;
    }
  }

  /** Seals a replica for {@code term}: it stops receiving the log of the old primary. */
  record StopReceiving(long term) implements ServerCommand {
    @Override
    public AnswerKind answerKind() {
      return AnswerKind.STATUS;
    }
  }

  /** Unseals a replica: it receives the log again. */
  record ResumeReceiving() implements ServerCommand {
    @Override
    public AnswerKind answerKind() {
      return AnswerKind.STATUS;
    }
  }

  /** Turns the primary of a term before {@code term} into a replica. */
  record StepDown(long term) implements ServerCommand {
    @Override
    public AnswerKind answerKind() {
      return AnswerKind.STATUS;
    }
  }
}

package org.chicorylane.internal.passthrough;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * Decides which answers on one connection to a backend server can be believed. An answer carries
 * nothing that names its command, and a server may send further copies of an answer at any later
 * time. So an answer is only believed if it cannot be a copy: no answer with the same content was
 * received on the connection before, or a copy would do no harm.
 *
 * <pre>{@code
 * switch (matcher.match(command, answer)) {
 *   case ANSWER -> handler.onAnswer(answer);
 *   case COPY -> log.write(answer);
 *   case MISMATCH -> close();
 * }
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class AnswerMatcher {

  /** The relation of an answer to the oldest command without one. */
  public enum Match {
    /** It is the answer to the command. */
    ANSWER,
    /** It is a further copy of an earlier answer; the answer to the command is yet to come. */
    COPY,
    /** It fits no command, or cannot be told from a copy; nothing that follows can be believed. */
    MISMATCH
  }

  /** Answers after which a connection is not reused, which bounds the memory for signatures. */
  private static final int MAX_ANSWERS = 1_000;

  /** The signatures received, each with the hash code of its rows. */
  private final Map<String, Integer> signed = new HashMap<>();

  private final Set<String> unsigned = new HashSet<>();
  private final Set<String> failures = new HashSet<>();
  private TransactionState state = TransactionState.IDLE;
  private LogPosition reported = LogPosition.ZERO;
  private int answers;
  private boolean copied;

  /**
   * Creates a matcher for a connection that was just opened.
   *
   * @param position the log position in the server's greeting, null if it has none
   */
  public AnswerMatcher(@Nullable LogPosition position) {
    unsigned.add(
        contentOf(new Answer(List.of(), null, null, "", TransactionState.IDLE, position, null)));
  }

  /** Returns the transaction state after the last answer. */
  public TransactionState state() {
    return state;
  }

  /**
   * Returns whether the connection may serve another client: no copy was received on it, and no
   * failure, of which a copy could follow that passes as a later failure.
   */
  public boolean isReusable() {
    return !copied && failures.isEmpty() && answers < MAX_ANSWERS;
  }

  /**
   * Matches an answer with the oldest command that has none.
   *
   * @param command the command, null if there was none when the answer began
   * @param answer the complete answer; without signature and failure if only the final state was
   *     received
   */
  public Match match(@Nullable ServerCommand command, Answer answer) {
    Match match = command == null ? matchKnown(answer) : matchCommand(command, answer);
    if (command != null && match == Match.ANSWER) {
      record(command.answerKind(), answer);
    } else {
      copied = true;
    }
    return match;
  }

  private Match matchCommand(ServerCommand command, Answer answer) {
    AnswerKind kind = command.answerKind();
    if (answer.failure() != null) {
      return kind == AnswerKind.STATUS || !isKnown(answer) ? Match.ANSWER : Match.MISMATCH;
    }
    boolean fits =
        answer.signature() != null
            && isSigned(answer) == (kind == AnswerKind.SIGNED)
            && answer.state() == command.stateAfter(state);
    return fits ? kind.matchSuccess(this, answer) : matchKnown(answer);
  }

  /** Matches an answer that cannot be the one to the command. */
  Match matchKnown(Answer answer) {
    return isKnown(answer) ? Match.COPY : Match.MISMATCH;
  }

  /** Returns whether the same answer was received before. */
  boolean isKnown(Answer answer) {
    if (answer.failure() != null) {
      return failures.contains(failureOf(answer));
    }
    if (!isSigned(answer)) {
      return unsigned.contains(contentOf(answer));
    }
    Integer rows = signed.get(answer.signature());
    return rows != null && rows == answer.rows().hashCode();
  }

  /** Returns whether an answer with the same signature was received before. */
  boolean isSignatureKnown(Answer answer) {
    return signed.containsKey(answer.signature());
  }

  /** Returns whether the server has reported a later position in an answer with its status. */
  boolean isOutdated(Answer answer) {
    LogPosition position = answer.position();
    return position != null && position.compareTo(reported) < 0;
  }

  private void record(AnswerKind kind, Answer answer) {
    answers++;
    state = answer.state();
    if (kind == AnswerKind.STATUS) {
      reported = answer.position() == null ? reported : reported.max(answer.position());
    } else if (answer.failure() != null) {
      failures.add(failureOf(answer));
    } else if (isSigned(answer)) {
      signed.put(answer.signature(), answer.rows().hashCode());
    } else {
      unsigned.add(contentOf(answer));
    }
  }

  private static boolean isSigned(Answer answer) {
    String signature = answer.signature();
    return signature != null && !signature.isEmpty() && !signature.equals(Answer.UNSIGNED);
  }

  private static String failureOf(Answer answer) {
    return answer.failure() + " " + answer.text();
  }

  private static String contentOf(Answer answer) {
    return answer.signature()
        + " "
        + answer.state()
        + " "
        + answer.position()
        + " "
        + answer.rows().hashCode();
  }
}

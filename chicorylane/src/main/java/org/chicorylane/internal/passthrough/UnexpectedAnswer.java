package org.chicorylane.internal.passthrough;

import java.util.Locale;
import org.jspecify.annotations.Nullable;

/**
 * Something that a backend server sent and that is not the answer to the command under way.
 *
 * <p>Immutable.
 *
 * @param kind how the answer was recognized
 * @param connection the number of the connection within this process
 * @param outstandingId the request id of the oldest command without an answer, null if there is
 *     none or the proxy sent it for itself
 * @param answeredId the request id of the statement that was answered last, null if there is none
 * @param text the beginning of what was received
 */
public record UnexpectedAnswer(
    Kind kind,
    long connection,
    @Nullable String outstandingId,
    @Nullable String answeredId,
    String text) {

  /** Maximum number of characters of {@link #text}. */
  private static final int MAX_TEXT = 80;

  /** How an unexpected answer was recognized. */
  public enum Kind {
    /** A further copy of an earlier answer. */
    COPIED,
    /** An answer while no command was outstanding. */
    UNSOLICITED,
    /** An answer that does not fit the outstanding command, or that may be a copy. */
    MISMATCHED,
    /** A message that is not part of any answer. */
    MALFORMED;

    /** Returns the name for logs and metrics. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Shortens {@code text}. */
  public UnexpectedAnswer {
    text = text.length() <= MAX_TEXT ? text : text.substring(0, MAX_TEXT);
  }
}

package org.chicorylane.internal.passthrough;

import java.util.List;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * The whole answer to a statement, from a server or from the proxy itself.
 *
 * <pre>{@code
 * Answer.failure(FailureCode.OVERLOADED, "retry after 200 ms", TransactionState.IDLE);
 * }</pre>
 *
 * <p>Immutable.
 *
 * @param rows the rows, one character a byte
 * @param signature the server's signature of a success, {@code "-"} without one, null in a failure
 * @param failure why it failed, null in a success
 * @param text a failure's explanation
 * @param state the transaction's state afterwards
 * @param position the server's log position, null if unknown
 * @param status what a server told of itself, null unless it was asked
 */
public record Answer(
    List<String> rows,
    @Nullable String signature,
    @Nullable FailureCode failure,
    String text,
    TransactionState state,
    @Nullable LogPosition position,
    @Nullable ServerStatus status) {

  /** The signature of answers that no server signed. */
  public static final String UNSIGNED = "-";

  /** Returns a success of the proxy itself. */
  public static Answer done(TransactionState state) {
    return new Answer(List.of(), UNSIGNED, null, "", state, null, null);
  }

  /** Returns a failure that the proxy reports. */
  public static Answer failure(FailureCode code, String text, TransactionState state) {
    return new Answer(List.of(), null, code, text, state, null, null);
  }

  /** Returns whether the statement succeeded. */
  public boolean succeeded() {
    return failure == null;
  }

  /** Returns whether it failed with {@code code}. */
  public boolean failedWith(FailureCode code) {
    return failure == code;
  }
}

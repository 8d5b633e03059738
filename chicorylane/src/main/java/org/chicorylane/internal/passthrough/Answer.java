package org.chicorylane.internal.passthrough;

import java.util.List;
import org.chicorylane.internal.position.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * The complete answer to a statement or command, from a backend server or from the proxy itself.
 *
 * <pre>{@code
 * Answer.failure(FailureCode.OVERLOADED, "retry after 200 ms", TransactionState.IDLE);
 * }</pre>
 *
 * <p>Immutable.
 *
 * @param rows the result rows; each character holds one byte (ISO 8859-1)
 * @param signature the server's signature of a success, {@link #UNSIGNED} if the server did not
 *     sign it, null for a failure
 * @param failure the failure code, null for a success
 * @param text the explanation of a failure, empty for a success
 * @param state the transaction state after the statement
 * @param position the server's log position, null if unknown
 * @param status the status that the server reports, null unless the command asked for it
 */
public record Answer(
    List<String> rows,
    @Nullable String signature,
    @Nullable FailureCode failure,
    String text,
    TransactionState state,
    @Nullable LogPosition position,
    @Nullable ServerStatus status) {

  /** The signature of a success that no server signed. */
  public static final String UNSIGNED = "-";

  /** Returns a success that the proxy itself reports. */
  public static Answer success(TransactionState state) {
    return new Answer(List.of(), UNSIGNED, null, "", state, null, null);
  }

  /** Returns a failure that the proxy itself reports. */
  public static Answer failure(FailureCode code, String text, TransactionState state) {
    return new Answer(List.of(), null, code, text, state, null, null);
  }

  /** Returns whether the statement succeeded. */
  public boolean succeeded() {
    return failure == null;
  }

  /** Returns whether the statement failed with {@code code}. */
  public boolean failedWith(FailureCode code) {
    return failure == code;
  }
}

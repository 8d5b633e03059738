package org.chicorylane.internal.caller;

import java.util.List;
import org.chicorylane.internal.statement.Statement;
import org.jspecify.annotations.Nullable;

/**
 * Parsed body of a request, not yet validated against the declarations.
 *
 * @param statements the statements in order
 * @param readClass the name of the read class; null if the body has none
 * @param requestClass the name of the request class; null if the body has none
 * @param repeatable whether the caller allows the request to run more than once
 */
record RequestBody(
    List<Statement> statements,
    @Nullable String readClass,
    @Nullable String requestClass,
    boolean repeatable) {

  static final RequestBody EMPTY = new RequestBody(List.of(), null, null, false);

  RequestBody {
    statements = List.copyOf(statements);
  }
}

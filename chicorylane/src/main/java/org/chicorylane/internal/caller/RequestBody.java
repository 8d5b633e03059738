package org.chicorylane.internal.caller;

import java.util.List;
import org.chicorylane.internal.statement.Statement;
import org.jspecify.annotations.Nullable;

/**
 * What a request's body says, not yet compared with the declarations.
 *
 * @param statements the statements in order
 * @param readClass the name of the read class; null if none is named
 * @param requestClass the name of the request class; null if none is named
 * @param repeatable whether the caller allows that the request runs more than once
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

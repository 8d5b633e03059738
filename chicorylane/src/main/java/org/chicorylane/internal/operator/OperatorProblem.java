package org.chicorylane.internal.operator;

import java.util.Locale;

/** The types of problems that operators meet, each an entry of docs/TROUBLESHOOTING.md. */
enum OperatorProblem {
  UNAUTHORIZED,
  INVALID,
  NOT_FOUND,
  CONFLICT,
  STORE_UNAVAILABLE,
  UNSETTLED,
  INTERNAL_ERROR;

  /** Returns the last part of the type's URI, and the anchor in the page. */
  String anchor() {
    return "operator-" + name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}

package org.chicorylane.internal.operator;

import java.util.Locale;

/** Types of the problem documents of the operator API; docs/TROUBLESHOOTING.md describes each. */
enum OperatorProblem {
  UNAUTHORIZED,
  INVALID,
  NOT_FOUND,
  CONFLICT,
  STORE_UNAVAILABLE,
  UNSETTLED,
  INTERNAL_ERROR;

  /** Returns the last part of the type's URI, which is also the anchor in the page. */
  String anchor() {
    return "operator-" + name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}

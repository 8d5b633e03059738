package org.chicorylane.internal.pool;

import java.util.Locale;

/** Why a home refuses a statement without a result. */
enum Refusal {
  /** No server can take the statement, and the primary has been away for long. */
  NO_SERVER,

  /** The statement is not expected to be served before its client gives up. */
  QUEUE_TOO_LONG,

  /** The statement became late, and those in time leave it no room. */
  OVERTAKEN,

  /** The client's time ran out before the statement was sent. */
  OUT_OF_TIME,

  /** The instance cannot confirm that it still is the home. */
  UNCONFIRMED_HOME,

  /** The statement's server was lost or did not answer, and it is not tried again. */
  SERVER_LOST,

  /** The account of the statement has used up its limit. */
  OVER_QUOTA,

  /** No server accepts a connection of the statement's account in time. */
  NO_CONNECTION;

  /** Returns the name under which refusals are counted. */
  String metricName() {
    return "refusals." + name().toLowerCase(Locale.ROOT);
  }
}

package org.chicorylane.internal.pool;

/** What a piece of work asks of a server. */
public enum WorkKind {
  READ,
  WRITE,
  EXECUTE,
  COMMIT
}

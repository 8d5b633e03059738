package org.chicorylane.internal.pool;

/** Kind of work that a client requests. */
public enum WorkKind {
  READ,
  WRITE,
  EXECUTE,
  COMMIT
}

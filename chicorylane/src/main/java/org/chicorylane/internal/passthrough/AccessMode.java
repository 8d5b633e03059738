package org.chicorylane.internal.passthrough;

/** What a prepared statement does with its item. */
public enum AccessMode {
  READ,
  WRITE
}

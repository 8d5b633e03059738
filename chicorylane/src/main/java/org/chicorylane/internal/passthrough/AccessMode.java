package org.chicorylane.internal.passthrough;

/** Whether a prepared statement reads or writes its item. */
public enum AccessMode {
  READ,
  WRITE
}

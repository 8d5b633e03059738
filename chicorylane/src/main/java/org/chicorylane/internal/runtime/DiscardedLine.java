package org.chicorylane.internal.runtime;

import org.jspecify.annotations.Nullable;

/** A line that ignores its fields and is never written. */
enum DiscardedLine implements DecisionLog.Line {
  INSTANCE;

  @Override
  public DecisionLog.Line with(String name, @Nullable Object value) {
    return this;
  }

  @Override
  public DecisionLog.Line with(String name, long value) {
    return this;
  }

  @Override
  public void write() {}
}

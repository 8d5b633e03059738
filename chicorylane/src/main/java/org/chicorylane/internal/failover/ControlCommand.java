package org.chicorylane.internal.failover;

/** A command that a home runs on a control connection. */
public enum ControlCommand {
  /** {@link HomeAction.TryLock}. */
  TRY_LOCK,
  /** {@link HomeAction.EndOthers}. */
  END_OTHERS,
  /** {@link HomeAction.Observe}. */
  OBSERVE,
  /** {@link HomeAction.Seal}. */
  SEAL,
  /** {@link HomeAction.Promote}. */
  PROMOTE,
  /** {@link HomeAction.Follow}. */
  FOLLOW
}

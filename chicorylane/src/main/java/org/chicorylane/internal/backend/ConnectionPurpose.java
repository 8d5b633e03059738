package org.chicorylane.internal.backend;

/** The purpose of a connection to a backend server, visible there as its application name. */
public enum ConnectionPurpose {
  /** Holds the home lock, observes and controls the server. */
  CONTROL("chicorylane-control"),
  /** Runs statements of callers. */
  WORK("chicorylane-work"),
  /** Checks for another instance whether the server is reachable. */
  PROBE("chicorylane-probe");

  private final String applicationName;

  ConnectionPurpose(String applicationName) {
    this.applicationName = applicationName;
  }

  /** Returns PostgreSQL's {@code application_name} for connections of this purpose. */
  public String applicationName() {
    return applicationName;
  }
}

package org.chicorylane.internal.backend;

/** What a connection to a backend server is for; its application name tells. */
public enum ConnectionPurpose {
  /** Holds the home lock, observes and steers the server. */
  CONTROL("chicorylane-control"),
  /** Runs callers' statements. */
  WORK("chicorylane-work"),
  /** Answers another instance whether the server is reachable. */
  PROBE("chicorylane-probe");

  private final String applicationName;

  ConnectionPurpose(String applicationName) {
    this.applicationName = applicationName;
  }

  /** Returns PostgreSQL's {@code application_name} of such connections. */
  public String applicationName() {
    return applicationName;
  }
}

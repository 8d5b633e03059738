package org.chicorylane.internal.failover;

/**
 * Identifies one control connection to a backend server, so that late answers of an abandoned
 * connection are told from those of its successor.
 *
 * @param server the name of the backend server
 * @param number counts the connections that this home opened to the server, from 1
 */
public record ControlConnection(String server, long number) {
  @Override
  public String toString() {
    return server + "#" + number;
  }
}

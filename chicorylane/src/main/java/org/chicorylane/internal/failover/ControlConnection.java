package org.chicorylane.internal.failover;

/**
 * Identifies one control connection to a backend server, so that late answers on an abandoned
 * connection can be distinguished from those on its successor.
 *
 * @param server the name of the backend server
 * @param number the number of this connection among those that this home opened to the server,
 *     starting at 1
 */
public record ControlConnection(String server, long number) {
  @Override
  public String toString() {
    return server + "#" + number;
  }
}

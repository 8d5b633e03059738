package org.chicorylane.standin.database;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The upstream that a {@code primary_conninfo} names; an empty text names none.
 *
 * @param text the setting's text
 * @param host the host that it names, empty if it names none
 * @param port the port that it names
 */
record ConnectionInfo(String text, String host, int port) {

  private static final int DEFAULT_PORT = 5432;

  static final ConnectionInfo NONE = new ConnectionInfo("", "", DEFAULT_PORT);

  private static final Pattern HOST = Pattern.compile("\\bhost\\s*=\\s*'?([^'\\s]+)");
  private static final Pattern PORT = Pattern.compile("\\bport\\s*=\\s*'?(\\d+)");

  static ConnectionInfo of(String host, int port) {
    return new ConnectionInfo("host=" + host + " port=" + port + " user=replicator", host, port);
  }

  static ConnectionInfo parse(String text) {
    Matcher host = HOST.matcher(text);
    Matcher port = PORT.matcher(text);
    return new ConnectionInfo(
        text,
        host.find() ? host.group(1) : "",
        port.find() ? Integer.parseInt(port.group(1)) : DEFAULT_PORT);
  }

  boolean present() {
    return !text.isBlank();
  }
}

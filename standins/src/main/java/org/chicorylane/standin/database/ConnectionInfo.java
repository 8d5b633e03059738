package org.chicorylane.standin.database;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The upstream that a {@code primary_conninfo} names; an empty text names none. */
record ConnectionInfo(String text) {

  static final ConnectionInfo NONE = new ConnectionInfo("");

  private static final Pattern HOST = Pattern.compile("\\bhost\\s*=\\s*'?([^'\\s]+)");
  private static final Pattern PORT = Pattern.compile("\\bport\\s*=\\s*'?(\\d+)");
  private static final int DEFAULT_PORT = 5432;

  static ConnectionInfo of(String host, int port) {
    return new ConnectionInfo("host=" + host + " port=" + port + " user=replicator");
  }

  boolean present() {
    return !text.isBlank();
  }

  String host() {
    Matcher m = HOST.matcher(text);
    return m.find() ? m.group(1) : "";
  }

  int port() {
    Matcher m = PORT.matcher(text);
    return m.find() ? Integer.parseInt(m.group(1)) : DEFAULT_PORT;
  }
}

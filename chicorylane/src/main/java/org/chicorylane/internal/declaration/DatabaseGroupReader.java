package org.chicorylane.internal.declaration;

import io.netty.util.NetUtil;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads and validates the spec of a {@link DatabaseGroup}. Stateless and thread-safe. */
final class DatabaseGroupReader {
  static final int MAX_SLOTS = 1_024;
  private static final int MAX_SERVERS = 15;
  private static final int MAX_PORT = 65_535;
  private static final int MIN_CONNECTIONS = 4;
  private static final int MAX_CONNECTIONS = 10_000;
  private static final int MAX_IDENTIFIER_CHARACTERS = 63;
  private static final int MAX_PASSWORD_CHARACTERS = 256;

  private DatabaseGroupReader() {}

  /** Reads the spec; the result is valid only if no finding was added. */
  static DatabaseGroup read(String name, ObjectFields spec) {
    String database = spec.text("database", MAX_IDENTIFIER_CHARACTERS);
    String user = spec.text("user", MAX_IDENTIFIER_CHARACTERS);
    String password = spec.secret("password", MAX_PASSWORD_CHARACTERS);
    String primary = spec.dnsLabel("initialPrimary");
    List<BackendServer> servers = readServers(spec);
    if (!primary.isEmpty() && servers.stream().noneMatch(s -> s.name().equals(primary))) {
      spec.report("initialPrimary", "\"" + primary + "\" is none of the servers of the group");
    }
    return new DatabaseGroup(name, database, user, password, primary, servers);
  }

  private static List<BackendServer> readServers(ObjectFields spec) {
    List<BackendServer> servers = new ArrayList<>();
    Set<String> names = new HashSet<>();
    Set<String> addresses = new HashSet<>();
    for (ObjectFields fields : spec.objects("servers", 1, MAX_SERVERS)) {
      BackendServer server = readServer(fields);
      if (!server.name().isEmpty() && !names.add(server.name())) {
        fields.report("name", "server \"" + server.name() + "\" is declared more than once");
      }
      if (!server.host().isEmpty() && !addresses.add(address(server))) {
        fields.report("port", address(server) + " is declared more than once");
      }
      servers.add(server);
    }
    return servers;
  }

  private static BackendServer readServer(ObjectFields fields) {
    BackendServer server =
        new BackendServer(
            fields.dnsLabel("name"),
            fields.stringMatching(
                "host", DatabaseGroupReader::isIpAddress, "an IPv4 or IPv6 number"),
            fields.integer("port", 1, MAX_PORT),
            fields.dnsLabel("availabilityZone"),
            fields.integer("slots", 1, MAX_SLOTS),
            fields.integer("connections", MIN_CONNECTIONS, MAX_CONNECTIONS),
            fields.enumConstant("state", ServerState.values(), ServerState.JOINED));
    fields.reportUnknownKeys();
    if (server.connections() <= server.slots()) {
      fields.report(
          "connections",
          server.connections() + " leaves none beside " + server.slots() + " slots for control");
    }
    return server;
  }

  private static boolean isIpAddress(String host) {
    return NetUtil.isValidIpV4Address(host)
        || (host.indexOf('%') < 0 && NetUtil.isValidIpV6Address(host));
  }

  /** Returns host and port in a canonical form, equal for all spellings of an IPv6 address. */
  static String address(BackendServer server) {
    byte[] bytes = NetUtil.createByteArrayFromIpAddressString(server.host());
    String host = bytes == null ? server.host() : NetUtil.bytesToIpAddress(bytes);
    return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + server.port();
  }
}

package org.chicorylane.internal.topology;

import java.util.Optional;

/**
 * Decodes what operators and backend servers write into the platform's store. The input is
 * untrusted and may be malformed.
 */
public interface TopologyDecoder {

  /** Returns the prefix of the store keys that hold the backend servers' entries. */
  String serverPrefix();

  /** Returns the store key of the operators' configuration. */
  String configurationKey();

  /** Decodes a configuration. Logs an unreadable text and returns empty for it. */
  Optional<Configuration> decodeConfiguration(String text);

  /**
   * Decodes a server's entry. Logs an entry that describes no usable server and returns empty for
   * it.
   */
  Optional<BackendServer> decodeServer(String key, String text);
}

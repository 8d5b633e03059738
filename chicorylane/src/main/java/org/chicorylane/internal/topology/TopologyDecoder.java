package org.chicorylane.internal.topology;

import java.util.Optional;

/** Reads what others write into the platform's store. Anything may stand there. */
public interface TopologyDecoder {

  /** Returns the prefix of the keys under which backend servers describe themselves. */
  String serverPrefix();

  /** Returns the key of the operators' configuration. */
  String configurationKey();

  /** Reads a configuration; empty if the text is unreadable, which it logs. */
  Optional<Configuration> decodeConfiguration(String text);

  /** Reads a server's entry; empty if it names no server to use, which it logs. */
  Optional<BackendServer> decodeServer(String key, String text);
}

package org.chicorylane.internal.proxy;

import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.topology.Configuration;
import org.chicorylane.internal.topology.TopologyDecoder;
import org.jspecify.annotations.Nullable;

/**
 * The newest configuration that this instance has seen; it never goes back.
 *
 * <p>Confined to the instance's thread.
 */
final class ConfigurationKeeper {

  private final TopologyDecoder decoder;
  private final DecisionLog log;
  private final Runnable onChange;
  private @Nullable Configuration current;
  private String text = "";

  ConfigurationKeeper(TopologyDecoder decoder, DecisionLog log, Runnable onChange) {
    this.decoder = decoder;
    this.log = log;
    this.onChange = onChange;
  }

  @Nullable Configuration current() {
    return current;
  }

  long version() {
    return current == null ? 0 : current.version();
  }

  String text() {
    return text;
  }

  /** Takes a configuration as the store holds it, from {@code source}. */
  void onText(String newText, String source) {
    decoder
        .decodeConfiguration(newText)
        .ifPresent(
            next -> {
              if (current != null && next.version() <= current.version()) {
                return;
              }
              log.event(DecisionLog.Priority.BELIEF, "configuration")
                  .with("version", next.version())
                  .with("before", version())
                  .with("source", source)
                  .with("routes", next.routes().size())
                  .write();
              current = next;
              text = newText;
              onChange.run();
            });
  }
}

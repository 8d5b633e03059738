package org.chicorylane.internal.proxy;

import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.topology.Configuration;
import org.chicorylane.internal.topology.TopologyDecoder;
import org.jspecify.annotations.Nullable;

/**
 * Holds the newest configuration that this instance has received, and ignores older versions.
 *
 * <p>Confined to the instance's thread.
 */
final class LatestConfiguration {

  private final TopologyDecoder decoder;
  private final DecisionLog log;
  private final Runnable onChange;
  private @Nullable Configuration current;
  private String text = "";

  LatestConfiguration(TopologyDecoder decoder, DecisionLog log, Runnable onChange) {
    this.decoder = decoder;
    this.log = log;
    this.onChange = onChange;
  }

  /** Returns the configuration, null before the first one. */
  @Nullable Configuration current() {
    return current;
  }

  /** Returns the version of the configuration, 0 before the first one. */
  long version() {
    return current == null ? 0 : current.version();
  }

  /** Returns the configuration as the store holds it, empty before the first one. */
  String text() {
    return text;
  }

  /**
   * Replaces the configuration if {@code newText} is valid and has a higher version.
   *
   * @param newText a configuration as the store holds it
   * @param source where it came from, for the log
   */
  void update(String newText, String source) {
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

package org.chicorylane.internal.proxy;

import java.util.function.LongSupplier;
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
  private final LongSupplier nanoTime;
  private final DecisionLog log;
  private final Runnable onChange;
  private @Nullable Configuration current;
  private String text = "";

  /** Time at which the configuration came into force. */
  private long sinceNanos;

  /** Time at which a source last reported the configuration in force. */
  private long reportedNanos;

  /** The source that last reported the configuration in force, empty before the first one. */
  private String reporter = "";

  /**
   * Creates a holder without a configuration.
   *
   * @param nanoTime the clock by which the ages of the configuration are measured, in nanoseconds
   * @param onChange called when the configuration was replaced
   */
  LatestConfiguration(
      TopologyDecoder decoder, LongSupplier nanoTime, DecisionLog log, Runnable onChange) {
    this.decoder = decoder;
    this.nanoTime = nanoTime;
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

  /** Returns how long the configuration has been in force, in ms; -1 before the first one. */
  long ageMillis() {
    return current == null ? -1 : millisSince(sinceNanos);
  }

  /** Returns how long ago a source last reported it, in ms; -1 before the first one. */
  long reportAgeMillis() {
    return current == null ? -1 : millisSince(reportedNanos);
  }

  private long millisSince(long nanos) {
    return (nanoTime.getAsLong() - nanos) / 1_000_000;
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
                onKnown(next.version(), source);
                return;
              }
              log.event(DecisionLog.Priority.BELIEF, "configuration")
                  .with("version", next.version())
                  .with("before", version())
                  .with("source", source)
                  .with("before_in_force_ms", ageMillis())
                  .with("before_reported_ms", reportAgeMillis())
                  .with("before_reporter", reporter)
                  .with("routes", next.routes().size())
                  .write();
              current = next;
              text = newText;
              sinceNanos = nanoTime.getAsLong();
              reportedNanos = sinceNanos;
              reporter = source;
              onChange.run();
            });
  }

  private void onKnown(long reportedVersion, String source) {
    if (reportedVersion == version()) {
      reportedNanos = nanoTime.getAsLong();
      reporter = source;
      return;
    }
    log.event(DecisionLog.Priority.BELIEF, "configuration-older")
        .with("version", reportedVersion)
        .with("in_force", version())
        .with("source", source)
        .write();
  }
}

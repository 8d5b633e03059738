package org.chicorylane.internal.settings;

import java.time.Duration;
import org.chicorylane.internal.caller.CallerLimits;
import org.chicorylane.internal.caller.LoadLimits;
import org.chicorylane.internal.caller.SizeLimits;
import org.chicorylane.internal.caller.TimeLimits;
import org.chicorylane.internal.json.ObjectReader;

/** Reads the limits of the HTTP API for callers; absent members keep their defaults. */
final class CallerLimitsReader {
  private static final int KIB = 1_024;
  private static final int MIB = 1_024 * KIB;
  private static final long MAXIMUM_TIME_MILLIS = Duration.ofHours(1).toMillis();

  private CallerLimitsReader() {}

  /** Returns the limits, and adds findings for invalid members. */
  static CallerLimits read(ObjectReader callers) {
    CallerLimits defaults = CallerLimits.defaults();
    SizeLimits sizes = sizes(callers, defaults.sizes());
    LoadLimits load = load(callers, defaults.load());
    TimeLimits times = times(callers, defaults.times());
    if (times.defaultDeadline().compareTo(times.maximumDeadline()) > 0) {
      callers.report(
          "defaultDeadlineMillis",
          "the default deadline of "
              + times.defaultDeadline().toMillis()
              + " ms is longer than the maximum of "
              + times.maximumDeadline().toMillis()
              + " ms");
    }
    callers.reportUnknownMembers();
    return new CallerLimits(sizes, load, times);
  }

  private static SizeLimits sizes(ObjectReader reader, SizeLimits defaults) {
    return new SizeLimits(
        count(reader, "headerBytes", KIB, MIB, defaults.headerBytes()),
        count(reader, "bodyBytes", KIB, 64 * MIB, defaults.bodyBytes()),
        count(reader, "statements", 1, 10_000, defaults.statements()),
        count(reader, "parameters", 1, 32_767, defaults.parameters()),
        count(reader, "idempotencyKeyLength", 16, 1_024, defaults.idempotencyKeyLength()));
  }

  private static LoadLimits load(ObjectReader reader, LoadLimits defaults) {
    return new LoadLimits(
        count(reader, "connections", 1, 1_000_000, defaults.connections()),
        count(reader, "requestsInFlight", 1, 1_000_000, defaults.requestsInFlight()),
        count(reader, "streamsPerConnection", 1, 10_000, defaults.streamsPerConnection()),
        count(reader, "pipelinedRequests", 1, 1_000, defaults.pipelinedRequests()),
        reader.integer("bufferedBytes", MIB, 1_024L * MIB).orElse(defaults.bufferedBytes()));
  }

  private static TimeLimits times(ObjectReader reader, TimeLimits defaults) {
    return new TimeLimits(
        time(reader, "defaultDeadlineMillis", defaults.defaultDeadline()),
        time(reader, "maximumDeadlineMillis", defaults.maximumDeadline()),
        time(reader, "answerGraceMillis", defaults.answerGrace()),
        time(reader, "headersTimeoutMillis", defaults.headersTimeout()),
        time(reader, "bodyTimeoutMillis", defaults.bodyTimeout()),
        time(reader, "keepAliveTimeoutMillis", defaults.keepAliveTimeout()),
        time(reader, "pingIntervalMillis", defaults.pingInterval()),
        time(reader, "writeTimeoutMillis", defaults.writeTimeout()),
        time(reader, "drainNoticeMillis", defaults.drainNotice()),
        time(reader, "goAwayDelayMillis", defaults.goAwayDelay()),
        time(reader, "drainIdleMillis", defaults.drainIdle()));
  }

  private static int count(
      ObjectReader reader, String name, int minimum, int maximum, int fallback) {
    return reader.integer(name, minimum, maximum).map(Math::toIntExact).orElse(fallback);
  }

  private static Duration time(ObjectReader reader, String name, Duration fallback) {
    return reader.integer(name, 1, MAXIMUM_TIME_MILLIS).map(Duration::ofMillis).orElse(fallback);
  }
}

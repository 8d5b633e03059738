package org.chicorylane.internal.settings;

import java.time.Duration;
import org.chicorylane.internal.caller.CallerLimits;
import org.chicorylane.internal.caller.LoadLimits;
import org.chicorylane.internal.caller.SizeLimits;
import org.chicorylane.internal.caller.TimeLimits;
import org.chicorylane.internal.json.ObjectReader;

/** Reads the limits of the HTTP edge; what is absent keeps its default. */
final class CallerLimitsReader {
  private static final int KIB = 1_024;
  private static final int MIB = 1_024 * KIB;
  private static final long MAXIMUM_TIME_MILLIS = Duration.ofHours(1).toMillis();

  private CallerLimitsReader() {}

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

  private static SizeLimits sizes(ObjectReader r, SizeLimits d) {
    return new SizeLimits(
        count(r, "headerBytes", KIB, MIB, d.headerBytes()),
        count(r, "bodyBytes", KIB, 64 * MIB, d.bodyBytes()),
        count(r, "statements", 1, 10_000, d.statements()),
        count(r, "parameters", 1, 32_767, d.parameters()),
        count(r, "idempotencyKeyLength", 16, 1_024, d.idempotencyKeyLength()));
  }

  private static LoadLimits load(ObjectReader r, LoadLimits d) {
    return new LoadLimits(
        count(r, "connections", 1, 1_000_000, d.connections()),
        count(r, "requestsInFlight", 1, 1_000_000, d.requestsInFlight()),
        count(r, "streamsPerConnection", 1, 10_000, d.streamsPerConnection()),
        count(r, "pipelinedRequests", 1, 1_000, d.pipelinedRequests()),
        r.integer("bufferedBytes", MIB, 1_024L * MIB).orElse(d.bufferedBytes()));
  }

  private static TimeLimits times(ObjectReader r, TimeLimits d) {
    return new TimeLimits(
        time(r, "defaultDeadlineMillis", d.defaultDeadline()),
        time(r, "maximumDeadlineMillis", d.maximumDeadline()),
        time(r, "answerGraceMillis", d.answerGrace()),
        time(r, "headersTimeoutMillis", d.headersTimeout()),
        time(r, "bodyTimeoutMillis", d.bodyTimeout()),
        time(r, "keepAliveTimeoutMillis", d.keepAliveTimeout()),
        time(r, "pingIntervalMillis", d.pingInterval()),
        time(r, "writeTimeoutMillis", d.writeTimeout()),
        time(r, "drainNoticeMillis", d.drainNotice()),
        time(r, "goAwayDelayMillis", d.goAwayDelay()),
        time(r, "drainIdleMillis", d.drainIdle()));
  }

  private static int count(ObjectReader r, String name, int minimum, int maximum, int fallback) {
    return r.integer(name, minimum, maximum).map(Math::toIntExact).orElse(fallback);
  }

  private static Duration time(ObjectReader r, String name, Duration fallback) {
    return r.integer(name, 1, MAXIMUM_TIME_MILLIS).map(Duration::ofMillis).orElse(fallback);
  }
}

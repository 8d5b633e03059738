package org.chicorylane.internal.platform;

import java.util.Locale;

/** The kinds of calls to the platform, each with its HTTP path and its counter in the metrics. */
enum PlatformCallKind {
  RANGE("/v3/kv/range"),
  TRANSACTION("/v3/kv/txn"),
  WATCH("/v3/watch"),
  INSTANCE_LIST("/apis/discovery.k8s.io/v1/namespaces/default/endpointslices/chicorylane");

  private static final String METRIC_PREFIX = "platform.calls.";

  private final String path;

  PlatformCallKind(String path) {
    this.path = path;
  }

  String path() {
    return path;
  }

  String metricName() {
    return METRIC_PREFIX + name().toLowerCase(Locale.ROOT);
  }
}

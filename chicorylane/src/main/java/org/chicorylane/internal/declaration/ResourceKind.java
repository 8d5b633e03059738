package org.chicorylane.internal.declaration;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/** The kinds of resources; each kind reads its own spec. */
public enum ResourceKind {
  /** A group of a primary and its replicas. */
  DATABASE_GROUP("DatabaseGroup") {
    @Override
    Spec readSpec(String name, ObjectFields spec) {
      return DatabaseGroupReader.read(name, spec);
    }
  },
  /** A class of reads with bounded staleness. */
  READ_CLASS("ReadClass") {
    @Override
    Spec readSpec(String name, ObjectFields spec) {
      int millis = spec.integer("maximumAgeMillis", 0, DAY_MILLIS);
      return new ReadClass(name, Duration.ofMillis(millis));
    }
  },
  /** A class of requests: its weight in the fair queue and whether it may be repeated. */
  REQUEST_CLASS("RequestClass") {
    @Override
    Spec readSpec(String name, ObjectFields spec) {
      return new RequestClass(
          name,
          spec.integer("weight", 1, MAX_WEIGHT, 1),
          spec.integer("reservedSlots", 0, DatabaseGroupReader.MAX_SLOTS, 0),
          spec.bool("repeatable", false),
          spec.bool("keyRequired", false));
    }
  },
  /** A service level objective of a request class. */
  SERVICE_LEVEL_OBJECTIVE("ServiceLevelObjective") {
    @Override
    Spec readSpec(String name, ObjectFields spec) {
      return new Objective(
          name,
          spec.dnsLabel("requestClass"),
          spec.numberBetween("target", 0, 1),
          Duration.ofMillis(spec.integer("latencyMillis", 1, HOUR_MILLIS)),
          Duration.ofMinutes(spec.integer("windowMinutes", 1, QUARTER_MINUTES, MONTH_MINUTES)));
    }
  };

  private static final int HOUR_MILLIS = 3_600_000;
  private static final int DAY_MILLIS = 24 * HOUR_MILLIS;
  private static final int MONTH_MINUTES = 30 * 24 * 60;
  private static final int QUARTER_MINUTES = 3 * MONTH_MINUTES;
  private static final int MAX_WEIGHT = 1_000;

  private final String kindName;

  ResourceKind(String kindName) {
    this.kindName = kindName;
  }

  /** Returns the value of {@code kind} in documents. */
  public String kindName() {
    return kindName;
  }

  /** Returns the kind of that name; empty if there is none. */
  public static Optional<ResourceKind> ofName(String kindName) {
    return Arrays.stream(values()).filter(k -> k.kindName.equals(kindName)).findFirst();
  }

  /** Reads the spec; the result is valid only if no finding was added. */
  abstract Spec readSpec(String name, ObjectFields spec);
}

package org.chicorylane.bench.soak;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/**
 * The options of a soak.
 *
 * @param seed determines the faults and the clients' statements
 * @param seconds how long faults are injected, in seconds
 * @param instances the number of instance processes
 * @param groups the number of database groups
 * @param sessions the number of client sessions for each route
 * @param without the faults that are not injected
 * @param command the program of an instance and its arguments
 * @param logs the folder for the logs and settings of the instances
 */
public record SoakOptions(
    long seed,
    int seconds,
    int instances,
    int groups,
    int sessions,
    Set<Fault> without,
    List<String> command,
    Path logs) {

  /** Options of the virtual machine, as {@code deploy/system.toml} gives them where it matters. */
  public static final List<String> JAVA_OPTIONS =
      List.of(
          "-Xms24m",
          "-Xmx96m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:-UsePerfData",
          "-Dio.netty.allocator.type=unpooled",
          "-Dio.netty.eventLoopThreads=1");

  /** Returns whether a fault may be injected. */
  boolean allows(Fault fault) {
    return !without.contains(fault) && (fault.isPlanned() || !isPlannedWorkOnly());
  }

  /** Returns whether only planned work is done: no kill, pause, crash or broken link. */
  boolean isPlannedWorkOnly() {
    return seed % 5 == 4;
  }
}

package org.chicorylane.bench.load;

/**
 * A measurement and its circumstances.
 *
 * @param command how to repeat it
 * @param startedAt when it began, in UTC
 * @param processors how many processors the program may use
 * @param loadAverageBefore the load average over one minute, as it began
 * @param loadAverageAfter the same as it ended, its own load included
 * @param result what was measured
 */
record BenchReport(
    String command,
    String startedAt,
    int processors,
    double loadAverageBefore,
    double loadAverageAfter,
    Object result) {}

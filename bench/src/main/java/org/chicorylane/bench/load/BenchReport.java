package org.chicorylane.bench.load;

/**
 * The result of a benchmark and the conditions under which it ran.
 *
 * @param command the command that repeats the benchmark
 * @param startedAt the start time in UTC
 * @param processors the number of processors available to the process
 * @param loadAverageBefore the load average over one minute at the start
 * @param loadAverageAfter the load average over one minute at the end, including the benchmark's
 *     load
 * @param result the benchmark's own report
 */
record BenchReport(
    String command,
    String startedAt,
    int processors,
    double loadAverageBefore,
    double loadAverageAfter,
    Object result) {}

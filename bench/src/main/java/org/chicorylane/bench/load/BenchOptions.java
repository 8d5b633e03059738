package org.chicorylane.bench.load;

/**
 * The options of a benchmark.
 *
 * @param seconds how long the benchmark, or each of its runs, lasts, in seconds
 * @param sessions the number of concurrent callers
 * @param runs the number of runs
 * @param fault the fault to inject into the primary
 * @param seed the seed of random choices
 */
record BenchOptions(int seconds, int sessions, int runs, PrimaryFault fault, int seed) {}

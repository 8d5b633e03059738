package org.chicorylane.bench.load;

/**
 * What a measurement is asked to do.
 *
 * @param seconds how long it runs, or each of its runs, in seconds
 * @param sessions how many callers send at the same time
 * @param runs how many runs there are
 * @param fault what happens to the primary
 * @param seed seeds the callers' choices
 */
record BenchOptions(int seconds, int sessions, int runs, PrimaryFault fault, int seed) {}

package org.chicorylane.bench.demo;

/**
 * What a run of the demo does.
 *
 * @param seconds how long sessions run, in seconds
 * @param instances how many instances there are
 * @param killPrimary whether a primary is killed after a third of the time
 * @param seed seeds the sessions' choices
 */
record DemoOptions(int seconds, int instances, boolean killPrimary, long seed) {}

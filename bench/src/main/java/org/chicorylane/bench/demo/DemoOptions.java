package org.chicorylane.bench.demo;

/**
 * The options of a demo run.
 *
 * @param seconds how long the sessions run, in seconds
 * @param instances the number of instances to start
 * @param killPrimary whether to kill one primary after a third of the time
 * @param seed the seed of the sessions' random choices
 */
record DemoOptions(int seconds, int instances, boolean killPrimary, long seed) {}

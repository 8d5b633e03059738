/**
 * Benchmarks that measure the system over real sockets, with callers, instances and stand-ins in
 * one process.
 *
 * <p>Start with {@link org.chicorylane.bench.load.Benchmark}, which lists them.
 */
@NullMarked
package org.chicorylane.bench.load;

import org.jspecify.annotations.NullMarked;

/**
 * The demo command, which runs database stand-ins, instances and callers in one process and then
 * audits the answers that callers received against the logs of the stand-ins.
 *
 * <p>Start with {@link org.chicorylane.bench.demo.DemoRun}.
 */
@NullMarked
package org.chicorylane.bench.demo;

import org.jspecify.annotations.NullMarked;

package org.chicorylane.internal.home;

import com.codahale.metrics.MetricRegistry;
import java.time.InstantSource;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.chicorylane.internal.backend.ServerConnector;
import org.chicorylane.internal.declaration.Declarations;
import org.chicorylane.internal.failover.FailoverTimings;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.relay.Fleet;
import org.chicorylane.internal.relay.RelayClient;
import org.chicorylane.internal.settings.HomeLimits;

/**
 * What every home of an instance shares.
 *
 * @param processId differs from that of every other process, also of an earlier one of the same
 *     instance
 * @param connector opens connections to backend servers
 * @param store the platform's key-value service
 * @param fleet the instances
 * @param peers asks other instances
 * @param declarations what is declared at the moment
 * @param timings the timings of failover
 * @param limits what a home lets in and keeps
 * @param writesStopped told of a group whose primary was lost
 * @param clock tells the time
 * @param metrics where homes are measured
 */
public record HomeEnvironment(
    String processId,
    ServerConnector connector,
    KeyValueStore store,
    Fleet fleet,
    RelayClient peers,
    Supplier<Declarations> declarations,
    FailoverTimings timings,
    HomeLimits limits,
    Consumer<String> writesStopped,
    InstantSource clock,
    MetricRegistry metrics) {}

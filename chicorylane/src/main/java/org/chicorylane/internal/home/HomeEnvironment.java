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
 * The dependencies that all group homes of an instance share.
 *
 * @param processId unique to this process; differs also from earlier processes of the same instance
 * @param connector opens connections to backend servers
 * @param store the platform's key-value service
 * @param fleet the instances of the fleet, and the candidates of each group
 * @param peers sends requests to other instances
 * @param declarations returns the current declarations
 * @param timings the timings of failover
 * @param limits how many requests a home admits and how long it keeps transactions and the ledger
 * @param writesStopped called with the name of a group when its primary is suspected to be lost
 * @param clock the time source
 * @param metrics the registry of the homes' metrics
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

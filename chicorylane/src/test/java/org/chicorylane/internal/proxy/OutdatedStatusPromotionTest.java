package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.function.Consumer;
import org.chicorylane.internal.entry.ClientSession;
import org.chicorylane.internal.passthrough.ClientStatement;
import org.chicorylane.internal.passthrough.ModelServer;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * A server's status is applied later than the position in it was read. A promotion must not rest on
 * a position that dates from before the replicas were stopped or the earlier homes had ended.
 */
final class OutdatedStatusPromotionTest {

  private static final long LEASE_MILLIS = 9_000;

  /** How long before the end of the lease the later home has the primary's last status. */
  private static final long LAST_STATUS_MILLIS = 800;

  @RegisterExtension private final FleetScenario scenario = new FleetScenario(2);
  private final ModelFleet fleet = scenario.fleet;
  private final ModelServer primary = scenario.server("server-a");
  private final ModelServer stalled = scenario.server("server-b");
  private final ModelServer holder = scenario.server("server-c");

  /** Advances until {@code host} sends the next status request to a server. */
  private void awaitStatusRequest(ModelHost host, String serverId) {
    boolean[] sent = new boolean[1];
    host.onCommand =
        (id, command) -> sent[0] |= id.equals(serverId) && command instanceof ServerCommand.Status;
    scenario.advanceUntil("a status request", 5_000, () -> sent[0]);
    host.onCommand = (id, command) -> {};
  }

  /** Advances until an instance has had its home records confirmed. */
  private void awaitConfirmation(ModelHost host) {
    int calls = host.storeCalls;
    scenario.advanceUntil("a read of the records", 2_000, () -> host.storeCalls > calls);
    fleet.advance(20);
  }

  /** Reads on the primary, which postpones its next status and all later ones. */
  private void postponeNextStatus(ModelHost host) {
    awaitStatusRequest(host, primary.id());
    fleet.advance(200);
    readAt(host);
    fleet.advance(50);
  }

  /** Sends a read that the home of the group has to answer. */
  private static void readAt(ModelHost host) {
    ClientSession session = host.openSession(ModelFleet.LATEST, () -> {});
    session.run("read", new ClientStatement.Read("READ item"), answer -> {});
  }

  private void writeAt(ModelHost host) {
    int before = scenario.clients.succeeded;
    scenario.clients.writeOnce(host);
    fleet.advance(30);
    assertWithMessage("acknowledged writes").that(scenario.clients.succeeded - before).isEqualTo(1);
  }

  // Guards against counting a status that was requested before the replica was asked to stop.
  @Test
  void testStatusRequestedBeforeTheStopIsNotCountedWhenItArrivesLate() {
    scenario.begin();
    scenario.stopClients();
    ModelHost home = scenario.home();
    holder.ignoresReplication = true;
    writeAt(home);
    awaitStatusRequest(home, holder.id());
    home.answerDelays.put(holder.id(), Duration.ofMillis(250));
    fleet.advance(2);
    holder.ignoresReplication = false;
    stalled.ignoresReplication = true;
    fleet.advance(50);
    writeAt(home);
    primary.crash();
    fleet.advance(200);
    home.unreachableServers.add(holder.id());
    fleet.advance(3_000);
    scenario.recover();
    scenario.finish();
  }

  /**
   * Has a later home exclude an earlier, isolated one by time and promote server-b. The later home
   * receives its last status of the primary before the earlier one runs {@code writes}, is then cut
   * off from the primary and from server-c, and pauses while it waits for the replicas.
   */
  private void promoteOnOutdatedStatus(Consumer<ModelHost> writes) {
    scenario.begin();
    scenario.stopClients();
    ModelHost earlier = scenario.home();
    awaitConfirmation(earlier);
    scenario.isolate(earlier);
    readAt(fleet.hosts().stream().filter(h -> h != earlier).findFirst().orElseThrow());
    scenario.advanceUntil("a later home", 3_000, () -> scenario.homeOtherThan(earlier) != null);
    final long begunMillis = fleet.scheduler.millis();
    ModelHost later = scenario.homeOtherThan(earlier);
    primary.isolatedFromServers = true;
    scenario.clients.writeOnce(later);
    scenario.advanceUntilLogged("primary-change", 3_000);
    primary.isolatedFromServers = false;
    postponeNextStatus(later);
    fleet.advance(begunMillis + LEASE_MILLIS - LAST_STATUS_MILLIS - fleet.scheduler.millis());
    awaitStatusRequest(later, primary.id());
    fleet.advance(3);
    stalled.ignoresReplication = true;
    later.unreachableServers.add(primary.id());
    later.unreachableServers.add(holder.id());
    writes.accept(earlier);
    scenario.advanceUntil("a stopped replica", 2_000, () -> stalled.sealedTerm > 0);
    fleet.advance(5);
    later.freeze();
    fleet.advance(500);
    later.thaw();
    fleet.advance(2_000);
    scenario.recover();
    scenario.finish();
  }

  // Guards against the end of the primary's log as it was while an earlier home held its lease.
  @Test
  void testCommitsOfAnEarlierHomeAfterTheLastStatusOfThePrimaryAreNotLost() {
    promoteOnOutdatedStatus(this::writeAt);
  }

  // Guards against passing on a success that arrives after the home's lease has ended.
  @Test
  void testCommitAnsweredAfterTheEndOfTheLeaseIsNotLost() {
    promoteOnOutdatedStatus(
        earlier -> {
          primary.work = Duration.ofMillis(500);
          scenario.clients.writeOnce(earlier);
        });
  }
}

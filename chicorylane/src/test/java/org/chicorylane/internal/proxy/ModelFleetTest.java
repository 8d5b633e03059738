package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.standin.platform.KeyValueEngine;
import org.junit.jupiter.api.Test;

final class ModelFleetTest {

  private final ModelFleet fleet = new ModelFleet(1);

  private List<String> entries() {
    ReadResult.Read read = (ReadResult.Read) fleet.store.range(fleet.serverPrefix()).join();
    return read.entries().stream().map(KeyValueEntry::key).toList();
  }

  // Guards against a server that no heartbeat keeps in the store, and for which a home waits.
  @Test
  void testRestoredEntryOfServerThatHasLeftExpires() {
    fleet.start();
    KeyValueEngine.Copy copy = fleet.store.engine().copy();
    fleet.upgradeServer("server-a", "server-d");
    fleet.advance(2_000);
    fleet.restoreStore(copy, 500);
    fleet.advance(1_000);
    assertThat(entries()).contains("servers/server-a");
    fleet.advance(4_000);
    assertThat(entries())
        .containsExactly("servers/server-b", "servers/server-c", "servers/server-d");
  }
}

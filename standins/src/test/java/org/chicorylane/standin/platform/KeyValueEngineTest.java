package org.chicorylane.standin.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.chicorylane.standin.platform.KeyValueEngine.RefusedException;
import org.junit.jupiter.api.Test;

/**
 * Guards against a stand-in that differs from etcd v3 in its leases, its checks of a transaction or
 * its comparisons. Tests that run against such a stand-in would pass or fail for a reason that a
 * real store does not have.
 */
final class KeyValueEngineTest {

  private Instant now = Instant.EPOCH;
  private final KeyValueEngine engine = new KeyValueEngine(() -> now);
  private final KeyValueJson json = new KeyValueJson(engine);

  @Test
  void testExpiredLeaseDeletesItsKeysAndKeepAliveRenewsIt() throws RefusedException {
    long lease = engine.grant(0, Duration.ofSeconds(10));
    put("a", "1", lease);
    now = now.plusSeconds(9);
    assertThat(engine.keepAlive(lease)).hasValue(Duration.ofSeconds(10));
    now = now.plusSeconds(9);
    assertThat(engine.range(KeyRange.single("a"), 0)).hasSize(1);
    now = now.plusSeconds(1);
    assertThat(engine.range(KeyRange.single("a"), 0)).isEmpty();
    assertThat(engine.keepAlive(lease)).isEmpty();
  }

  @Test
  void testRevokedLeaseReportsDeletionToWatches() throws RefusedException {
    long lease = engine.grant(7, Duration.ofSeconds(10));
    put("a", "1", lease);
    List<Boolean> deletions = new ArrayList<>();
    engine.watch(
        KeyRange.prefix("a"), 0, (revision, events) -> deletions.add(events.get(0).isDeletion()));
    engine.revoke(lease);
    assertThat(deletions).containsExactly(true);
    assertThrows(RefusedException.class, () -> engine.revoke(lease));
  }

  @Test
  void testRejectsUnknownLeaseAndKeyPutTwice() {
    KeyValueEngine.Put put = new KeyValueEngine.Put("a", "1", 0);
    assertThrows(RefusedException.class, () -> put("a", "1", 99));
    assertThrows(
        RefusedException.class, () -> engine.transact(List.of(), List.of(put, put), List.of()));
    assertThat(engine.revision()).isEqualTo(1);
  }

  /**
   * The key "a" (base64 YQ==) has value "1" (MQ==) and version 2; revision 2 created it and
   * revision 3 changed it. Each row holds the fields of a comparison and whether it must hold.
   */
  @Test
  void testComparisonsInJsonMapping() throws RefusedException {
    put("a", "0", 0);
    put("a", "1", 0);
    String[][] cases = {
      {"'target':'VERSION','result':'EQUAL','version':'2'", "true"},
      {"'target':'VERSION','result':'NOT_EQUAL','version':'2'", "false"},
      {"'target':'CREATE','result':'LESS','create_revision':'3'", "true"},
      {"'target':'MOD','result':'GREATER','mod_revision':'2'", "true"},
      {"'target':'MOD','mod_revision':3", "true"},
      {"'target':'VALUE','result':'EQUAL','value':'MQ=='", "true"},
      {"'target':'VALUE','result':'EQUAL','value':'MA=='", "false"},
      {"'target':'MOD','result':'EQUAL'", "false"},
    };
    for (String[] row : cases) {
      String request = "{'compare':[{'key':'YQ=='," + row[0] + "}]}";
      JsonObject answer =
          json.handle(CallKind.TXN, JsonParser.parseString(request).getAsJsonObject());
      assertWithMessage(row[0])
          .that(answer.has("succeeded"))
          .isEqualTo(Boolean.parseBoolean(row[1]));
    }
  }

  private void put(String key, String value, long lease) throws RefusedException {
    engine.transact(List.of(), List.of(new KeyValueEngine.Put(key, value, lease)), List.of());
  }
}

package org.chicorylane.internal.proxy;

import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.chicorylane.internal.json.JsonNumbers;
import org.chicorylane.internal.json.UntrustedJson;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.StoreTransaction;
import org.chicorylane.internal.platform.WriteResult;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.topology.PeerInstance;

/**
 * Service registry: the instances that have registered themselves in the key-value store. An entry
 * may outlive its instance, which only a connection attempt reveals.
 *
 * <p>Confined to the instance's thread.
 */
final class InstanceRegistry {

  static final String KEY_PREFIX = "lane/instances/";

  /** Field of an entry that tells whether the instance answers {@link PeerQuestion#STORE_WATCH}. */
  private static final String RELAYS_FIELD = "relaysStore";

  /** Delay before a failed registration is sent again. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(300);

  private final KeyValueStore store;
  private final Scheduler scheduler;
  private final DecisionLog log;
  private final PeerInstance self;
  private final TreeMap<String, Entry> peers = new TreeMap<>();
  private boolean leaving;

  /**
   * A registered instance.
   *
   * @param relaysStore whether its build can relay the store's changes to other instances
   */
  private record Entry(PeerInstance instance, boolean relaysStore) {}

  InstanceRegistry(KeyValueStore store, Scheduler scheduler, DecisionLog log, PeerInstance self) {
    this.log = log;
    this.store = store;
    this.scheduler = scheduler;
    this.self = self;
  }

  /** Returns the registered instances, with this one unless it is leaving. */
  List<PeerInstance> instances() {
    return list(entry -> true);
  }

  /** Returns those of {@link #instances()} that can relay the store's changes. */
  List<PeerInstance> relayingInstances() {
    return list(Entry::relaysStore);
  }

  private List<PeerInstance> list(Predicate<Entry> condition) {
    List<PeerInstance> all = new ArrayList<>();
    for (Entry entry : peers.values()) {
      if (!entry.instance().name().equals(self.name()) && condition.test(entry)) {
        all.add(entry.instance());
      }
    }
    if (!leaving) {
      all.add(self);
    }
    return all;
  }

  /** Writes this instance's entry, with retries until it is written or the instance leaves. */
  void register() {
    if (leaving) {
      return;
    }
    store
        .transact(StoreTransaction.builder().put(KEY_PREFIX + self.name(), encode(self)).build())
        .thenAccept(
            result -> {
              if (!(result instanceof WriteResult.Applied)) {
                scheduler.schedule(RETRY_DELAY, this::register);
              }
            });
  }

  /** Deletes this instance's entry. The deletion is not retried. */
  void leave() {
    leaving = true;
    store.transact(StoreTransaction.builder().delete(KEY_PREFIX + self.name()).build());
  }

  /** Writes or deletes this instance's entry again, as the store may have lost the change. */
  void onStoreRestored() {
    if (leaving) {
      leave();
    } else {
      register();
    }
  }

  /** Applies a change of an entry under {@link #KEY_PREFIX}. */
  void onEntry(KeyValueEntry entry, boolean deleted) {
    String name = entry.key().substring(KEY_PREFIX.length());
    if (deleted) {
      peers.remove(name);
    } else {
      UntrustedJson.read(entry.value(), InstanceRegistry::decode, p -> logUnreadable(entry, p))
          .ifPresent(e -> peers.put(name, e));
    }
  }

  private void logUnreadable(KeyValueEntry entry, String problem) {
    log.event(DecisionLog.Priority.BELIEF, "entry-unreadable")
        .with("key", entry.key())
        .with("problem", problem)
        .write();
  }

  /** Removes all other instances before the store's entries are loaded again. */
  void clear() {
    peers.clear();
  }

  private static String encode(PeerInstance p) {
    JsonObject o = new JsonObject();
    o.addProperty("name", p.name());
    o.addProperty("incarnation", p.incarnation());
    o.addProperty("address", p.address());
    o.addProperty("zone", p.zone());
    o.addProperty("weight", p.weight());
    o.addProperty(RELAYS_FIELD, true);
    return o.toString();
  }

  private static Entry decode(JsonObject o) {
    PeerInstance instance =
        new PeerInstance(
            o.get("name").getAsString(),
            o.get("incarnation").getAsString(),
            o.get("address").getAsString(),
            o.get("zone").getAsString(),
            (int) JsonNumbers.integer(o, "weight", 1, Integer.MAX_VALUE));
    return new Entry(instance, o.has(RELAYS_FIELD) && o.get(RELAYS_FIELD).getAsBoolean());
  }
}

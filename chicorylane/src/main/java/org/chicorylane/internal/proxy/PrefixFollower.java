package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.chicorylane.internal.mesh.PeerLink;
import org.chicorylane.internal.mesh.generated.MeshReply;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.platform.RestorableStore;
import org.chicorylane.internal.platform.StoreEra;
import org.chicorylane.internal.platform.WatchListener;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.topology.PeerInstance;
import org.jspecify.annotations.Nullable;

/**
 * Follows all keys under a prefix: reads them all, then learns of changes, from the store's watch
 * if this instance is a relay or must not depend on one, and else from a relay. Reads them all
 * again if the history that a watch needs is lost.
 *
 * <p>Confined to the instance's thread.
 */
final class PrefixFollower {

  /** Receives the entries under the prefix. */
  interface Listener {
    /** Called with all entries as of one revision; they replace what was reported before. */
    void onAll(List<KeyValueEntry> entries);

    /** Called when an entry was written, or removed if {@code deleted}. */
    void onChange(KeyValueEntry entry, boolean deleted);
  }

  /** Delay before a failed read is sent again while no entries are known. */
  private static final Duration FIRST_READ_RETRY_DELAY = Duration.ofMillis(250);

  /** Delay before a failed read is sent again once entries are known, which can be served with. */
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  /** Longer than a relay waits for a change. */
  private static final Duration RELAY_TIMEOUT = Duration.ofSeconds(12);

  /** Relays asked one after the other; all of the own zone and some of others. */
  private static final int MAXIMUM_RELAYS_ASKED = 6;

  /** Delay before the relays are asked again after all of them have refused or not answered. */
  private static final Duration RELAY_RETRY_DELAY = Duration.ofSeconds(1);

  /**
   * Rounds of asking relays in vain after which this instance watches the store itself. An outage
   * of the store usually ends within these rounds, and causes no calls of the followers.
   */
  private static final int MAXIMUM_ROUNDS = 6;

  /** How long an instance watches the store itself because no relay answered. */
  private static final Duration OWN_WATCH_DURATION = Duration.ofSeconds(5);

  private final RestorableStore store;
  private final BooleanSupplier storeUnavailable;
  private final String prefix;
  private final Scheduler scheduler;
  private final WatchRelays relays;
  private final BooleanSupplier mustWatch;
  private final Function<String, PeerLink> links;
  private final Duration firstFollowDelay;
  private final Listener listener;
  private final RelayedPrefix relayed;

  /** Where the entries that were reported last came from, for the log. */
  private String source = "no read";

  private KeyValueStore.@Nullable Watch watch;

  /** Whether {@link #watch} reports changes; it does not after its history was lost. */
  private boolean watching;

  private boolean reading;

  /** Whether the entries have been read at least once. */
  private boolean loaded;

  /** The revision up to which the entries are known. */
  private long revision;

  /**
   * Counts the changes of where changes come from; replies of relays to earlier questions lapse.
   */
  private int generation;

  /** Time up to which this instance watches the store though it is no relay. */
  private long ownWatchEndNanos;

  /**
   * Creates a follower that is inactive until {@link #start()}.
   *
   * @param storeUnavailable returns whether this instance's last call to the store failed
   * @param mustWatch returns whether this instance must not depend on what a relay may learn late
   * @param links returns the link to an address
   * @param firstFollowDelay the time between the first read and the first question for changes
   */
  PrefixFollower(
      RestorableStore store,
      BooleanSupplier storeUnavailable,
      String prefix,
      Scheduler scheduler,
      WatchRelays relays,
      BooleanSupplier mustWatch,
      Function<String, PeerLink> links,
      Duration firstFollowDelay,
      Listener listener) {
    this.store = store;
    this.storeUnavailable = storeUnavailable;
    this.prefix = prefix;
    this.scheduler = scheduler;
    this.relays = relays;
    this.mustWatch = mustWatch;
    this.links = links;
    this.firstFollowDelay = firstFollowDelay;
    this.listener = listener;
    this.relayed = new RelayedPrefix(scheduler);
    this.ownWatchEndNanos = scheduler.nanoTime();
  }

  /**
   * Reads all entries, with retries until a read succeeds, and follows the changes from that
   * revision. Does nothing while a read is in progress or a retry is due.
   */
  void start() {
    if (!reading) {
      reading = true;
      relayed.setCurrent(false);
      read();
    }
  }

  /** Answers a question of an instance that follows this one. */
  void answer(long afterRevision, Consumer<MeshReply.Builder> reply) {
    relayed.ask(afterRevision, reply);
  }

  /** Returns where the entries that were reported last came from, for the log. */
  String source() {
    return source;
  }

  /**
   * Reports an entry that was read by itself if its change is not known yet. A watch whose answer
   * was lost does not report it before its timeout. The prefix must have no other key whose changes
   * matter, as they count as known up to this entry's revision.
   */
  void onEntryRead(KeyValueEntry entry) {
    if (loaded && !reading && entry.modRevision() > revision) {
      source = "a read of its key";
      onChanges(List.of(new WatchListener.Change(entry, false)), entry.modRevision());
    }
  }

  /** Returns whether other instances wait for changes from this one. */
  boolean isFollowed() {
    return relayed.isAsked();
  }

  /** Adapts to changes of the relays and of the store's availability; called periodically. */
  void tick() {
    if (!loaded || reading) {
      return;
    }
    if (storeUnavailable.getAsBoolean()) {
      relayed.setCurrent(false);
      if (watching) {
        start();
      }
      return;
    }
    boolean watchesStore = shouldWatchStore();
    if (watchesStore != watching) {
      follow();
    }
    relayed.setCurrent(watchesStore);
    relayed.tick();
  }

  private boolean shouldWatchStore() {
    return relays.isRelay() || mustWatch.getAsBoolean() || scheduler.nanoTime() < ownWatchEndNanos;
  }

  private void read() {
    store
        .range(prefix)
        .thenAccept(
            result -> {
              // An open watch may have reported changes since a read through another instance.
              if (result instanceof ReadResult.Read read && read.revision() >= revision) {
                // Lets answers that have already arrived be handled before the watch is requested.
                scheduler.schedule(loaded ? Duration.ZERO : firstFollowDelay, this::onRead);
                loaded = true;
                source = "a read of the store";
                onAll(read.entries(), read.revision());
              } else {
                scheduler.schedule(loaded ? RETRY_DELAY : FIRST_READ_RETRY_DELAY, this::read);
              }
            });
  }

  private void onRead() {
    reading = false;
    if (watching && storeUnavailable.getAsBoolean()) {
      // The read came through another instance; the open watch continues when the store returns.
      return;
    }
    follow();
  }

  private void onAll(List<KeyValueEntry> entries, long atRevision) {
    revision = atRevision;
    relayed.onAll(entries, atRevision);
    listener.onAll(entries);
  }

  private void onChanges(List<WatchListener.Change> changes, long toRevision) {
    revision = Math.max(revision, toRevision);
    relayed.onChanges(changes, toRevision);
    changes.forEach(c -> listener.onChange(c.entry(), c.deleted()));
  }

  /** Follows the changes after {@link #revision}, from the store or from a relay. */
  private void follow() {
    generation++;
    if (watch != null) {
      watch.close();
      watch = null;
      watching = false;
    }
    if (shouldWatchStore()) {
      watchStore();
    } else {
      askRelay(generation, 0, 0);
    }
  }

  private void watchStore() {
    relayed.setCurrent(true);
    watching = true;
    watch =
        store.watch(
            prefix,
            revision + 1,
            new WatchListener() {
              @Override
              public void onChanges(List<Change> changes, long reached) {
                source = "a watch of the store";
                PrefixFollower.this.onChanges(changes, reached);
                if (!shouldWatchStore()) {
                  follow();
                }
              }

              @Override
              public void onHistoryLost() {
                watching = false;
                start();
              }
            });
  }

  /**
   * Asks a relay for the changes after {@link #revision}, and the next one if it has none.
   *
   * @param asked the number of relays that were asked in this round
   * @param rounds the number of rounds in which no relay answered
   */
  private void askRelay(int askedGeneration, int asked, int rounds) {
    if (askedGeneration != generation) {
      return;
    }
    List<PeerInstance> order = relays.inOrder();
    if (asked >= Math.min(order.size(), MAXIMUM_RELAYS_ASKED)) {
      scheduler.schedule(RELAY_RETRY_DELAY, () -> startRound(askedGeneration, rounds + 1));
      return;
    }
    String address = order.get(asked).address();
    links
        .apply(address)
        .askPatiently(
            StoreMessages.encodeWatch(prefix, revision),
            RELAY_TIMEOUT,
            (reply, sent) -> {
              if (askedGeneration != generation) {
                return;
              }
              if (reply != null && reply.getYes() && applyReply(reply, address)) {
                boolean isQuiet = reply.getResultsCount() == 0;
                askRelay(askedGeneration, isQuiet ? 0 : asked, 0);
              } else {
                askRelay(askedGeneration, asked + 1, rounds);
              }
            });
  }

  private void startRound(int askedGeneration, int rounds) {
    if (askedGeneration != generation) {
      return;
    }
    if (rounds >= MAXIMUM_ROUNDS) {
      ownWatchEndNanos = scheduler.nanoTime() + OWN_WATCH_DURATION.toNanos();
      follow();
    } else {
      askRelay(askedGeneration, 0, rounds);
    }
  }

  /**
   * Applies a relay's reply; returns false if it does not continue what is known, such as one from
   * before the store was restored, or of an instance that does not know the question.
   */
  private boolean applyReply(MeshReply reply, String relay) {
    long reached = reply.getRevision();
    store.onEra(StoreEra.of(reached));
    if (StoreEra.of(reached) < store.era() || reached < revision) {
      return false;
    }
    source = "relay " + relay;
    if (StoreMessages.hasAll(reply)) {
      onAll(StoreMessages.decodeAll(reply), reply.getRevision());
    } else {
      onChanges(StoreMessages.decodeChanges(reply), reply.getRevision());
    }
    return true;
  }
}

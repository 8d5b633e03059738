package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.Collection;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.chicorylane.internal.account.ConfigurationFreshness;
import org.chicorylane.internal.mesh.PeerLink;
import org.chicorylane.internal.mesh.generated.MeshQuestion;
import org.chicorylane.internal.mesh.generated.MeshReply;
import org.chicorylane.internal.platform.KeyValueEntry;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.runtime.Scheduler;

/**
 * Keeps a home's knowledge of the configuration confirmed: reads the configuration regularly, and
 * asks the other homes for their confirmations while its own reads fail.
 *
 * <p>Calls nobody while it is not needed. Confined to the instance's thread.
 */
final class ConfigurationConfirmer {

  private static final Duration INTERVAL = Duration.ofSeconds(1);

  /** Interval while the confirmation is old, so that the end of an outage is noticed early. */
  private static final Duration URGENT_INTERVAL = Duration.ofMillis(200);

  /** Interval between two rounds of questions to other homes. */
  private static final Duration PEER_INTERVAL = Duration.ofMillis(500);

  /** Multiple of the largest age after which reads are no longer urgent. */
  private static final int URGENT_END_FACTOR = 3;

  /** Reads without an answer yet beyond which no further one is sent. */
  private static final int MAXIMUM_READS = 8;

  private final Scheduler scheduler;
  private final KeyValueStore store;
  private final String key;
  private final LatestConfiguration configuration;
  private final ConfigurationFreshness freshness;
  private final BooleanSupplier isNeeded;
  private final Supplier<Collection<String>> homes;
  private final Function<String, PeerLink> links;
  private final long phaseNanos;
  private boolean active;
  private long nextReadNanos;
  private long lastReadNanos;
  private long lastAskedNanos;
  private int reads;

  /**
   * Creates a confirmer.
   *
   * @param store the store, read directly or through another instance
   * @param key the key of the configuration
   * @param isNeeded returns whether this instance decides on keys now
   * @param homes returns the addresses of the other homes
   * @param links returns the link to an address
   * @param selfName this instance's name, by which the times of the instances' reads differ
   */
  ConfigurationConfirmer(
      Scheduler scheduler,
      KeyValueStore store,
      String key,
      LatestConfiguration configuration,
      ConfigurationFreshness freshness,
      BooleanSupplier isNeeded,
      Supplier<Collection<String>> homes,
      Function<String, PeerLink> links,
      String selfName) {
    this.scheduler = scheduler;
    this.store = store;
    this.key = key;
    this.configuration = configuration;
    this.freshness = freshness;
    this.isNeeded = isNeeded;
    this.homes = homes;
    this.links = links;
    this.phaseNanos = Math.floorMod(selfName.hashCode() * 0x9E3779B9L, INTERVAL.toNanos());
  }

  /** Sends a read if one is due; called at short intervals and when a home changes. */
  void tick() {
    if (!freshness.isRequired() || !isNeeded.getAsBoolean()) {
      active = false;
      freshness.pause();
      return;
    }
    long now = scheduler.nanoTime();
    if (!active) {
      active = true;
      freshness.start();
      lastAskedNanos = now - PEER_INTERVAL.toNanos();
      nextReadNanos = now + phaseNanos;
      read(now);
      return;
    }
    boolean urgent = isUrgent();
    if (now >= nextReadNanos) {
      nextReadNanos = now + INTERVAL.toNanos();
      read(now);
    } else if (urgent && now - lastReadNanos >= URGENT_INTERVAL.toNanos()) {
      read(now);
    }
    if (urgent && now - lastAskedNanos >= PEER_INTERVAL.toNanos()) {
      lastAskedNanos = now;
      homes.get().forEach(address -> ask(address, now));
    }
  }

  private boolean isUrgent() {
    OptionalLong age = freshness.ageNanos();
    long maximum = freshness.maximumAgeNanos();
    return age.isEmpty()
        || (age.getAsLong() > maximum / 2 && age.getAsLong() < maximum * URGENT_END_FACTOR);
  }

  private void read(long now) {
    if (reads >= MAXIMUM_READS) {
      return;
    }
    reads++;
    lastReadNanos = now;
    store
        .get(key)
        .thenAccept(
            result -> {
              reads--;
              if (result instanceof ReadResult.Read read) {
                read.entries().forEach(e -> onRead(e, now));
              }
            });
  }

  private void onRead(KeyValueEntry entry, long sentNanos) {
    configuration.update(entry.value(), "a confirmation");
    freshness.confirm(sentNanos);
  }

  private void ask(String address, long now) {
    links
        .apply(address)
        .ask(
            MeshQuestion.newBuilder()
                .setKind(PeerQuestion.NUMBERS.number(PeerQuestion.CONFIRMATION_AGE))
                .addArguments(Long.toString(configuration.version())),
            PEER_INTERVAL,
            (reply, sent) -> {
              if (reply != null && reply.getYes()) {
                reply.getResultsList().forEach(t -> configuration.update(t, "a home"));
                freshness.confirm(now - reply.getRevision());
              }
            });
  }

  /** Returns the reply to a home that asks for the age of this instance's confirmation. */
  MeshReply.Builder answer(MeshQuestion question) {
    OptionalLong age = freshness.ageNanos();
    MeshReply.Builder reply =
        MeshReply.newBuilder().setYes(age.isPresent()).setRevision(age.orElse(0));
    if (age.isPresent() && Long.parseLong(question.getArguments(0)) < configuration.version()) {
      reply.addResults(configuration.text());
    }
    return reply;
  }
}

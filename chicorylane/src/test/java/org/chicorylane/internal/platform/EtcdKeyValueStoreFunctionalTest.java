package org.chicorylane.internal.platform;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.chicorylane.standin.platform.CallKind;
import org.chicorylane.standin.platform.KeyValueEngine;
import org.chicorylane.standin.platform.PlatformInstance;
import org.chicorylane.standin.platform.StandInPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Runs the contract tests against the etcd client and a stand-in for the platform, and guards
 * against faults of the network: a client that hangs on an unresponsive store, loses watch changes
 * across an outage, or reports that a write failed although it may have taken effect.
 */
final class EtcdKeyValueStoreFunctionalTest extends KeyValueStoreContract {

  /** Long enough that a store that answers never reaches it, even on a busy computer. */
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  /** For tests in which the store does not answer. */
  private static final Duration SHORT_TIMEOUT = Duration.ofSeconds(1);

  private final StandInPlatform platform = StandInPlatform.builder().seed(1).start();
  private final MetricRegistry metrics = new MetricRegistry();
  private final URI endpoint = URI.create("http://127.0.0.1:" + platform.port());
  private final EtcdKeyValueStore store = client(TIMEOUT);

  private EtcdKeyValueStore client(Duration callTimeout) {
    return new EtcdKeyValueStore(
        List.of(endpoint),
        new EtcdKeyValueStore.Options(callTimeout, Duration.ofMillis(300), Duration.ofMillis(20)),
        metrics);
  }

  @AfterEach
  void close() {
    store.close();
    platform.close();
  }

  @Override
  KeyValueStore store() {
    return store;
  }

  @Override
  KeyValueEngine engine() {
    return platform.engine();
  }

  @Override
  void loseNextAnswers(int count) {
    platform.faults().loseNextAnswers(count);
  }

  @Override
  void setDown(boolean down) {
    if (down) {
      platform.faults().down();
    } else {
      platform.faults().heal();
    }
  }

  @Test
  void testFrozenStoreTimesOutAndWriteMayHaveApplied() {
    platform.faults().freeze();
    try (EtcdKeyValueStore shortTimeoutStore = client(SHORT_TIMEOUT)) {
      WriteResult.Unavailable result =
          (WriteResult.Unavailable) shortTimeoutStore.compareAndSwap("/k", 0, "a").join();
      assertThat(result.mayHaveApplied()).isTrue();
    }
  }

  @Test
  void testRefusedConnectionMeansWriteWasNotSent() {
    platform.close();
    WriteResult.Unavailable result =
        (WriteResult.Unavailable) store.compareAndSwap("/k", 0, "a").join();
    assertThat(result.mayHaveApplied()).isFalse();
  }

  @Test
  void testUsesNextEndpointAfterFailure() {
    StandInPlatform stopped = StandInPlatform.builder().start();
    int deadPort = stopped.port();
    stopped.close();
    URI dead = URI.create("http://127.0.0.1:" + deadPort);
    try (EtcdKeyValueStore twoEndpointStore =
        new EtcdKeyValueStore(
            List.of(dead, endpoint), EtcdKeyValueStore.Options.DEFAULT, metrics)) {
      assertThat(twoEndpointStore.get("/k").join()).isInstanceOf(ReadResult.Unavailable.class);
      assertThat(twoEndpointStore.get("/k").join()).isInstanceOf(ReadResult.Read.class);
    }
  }

  @Test
  void testWatchReportsAllChangesAcrossOutage() throws InterruptedException {
    BlockingQueue<WatchListener.Change> seen = new LinkedBlockingQueue<>();
    store.watch("/t/", 1, queueing(seen));
    long first = requireApplied(store.compareAndSwap("/t/1", 0, "a"));
    assertThat(seen.poll(10, TimeUnit.SECONDS).entry().modRevision()).isEqualTo(first);
    platform.faults().down();
    platform.faults().heal();
    conditionalWriter().swap("/t/1", first, "b by w1", "w1").join();
    assertThat(seen.poll(10, TimeUnit.SECONDS).entry().value()).isEqualTo("b by w1");
  }

  @Test
  void testUnresponsiveConnectionsAreReplaced() throws InterruptedException {
    BlockingQueue<WatchListener.Change> seen = new LinkedBlockingQueue<>();
    try (EtcdKeyValueStore shortTimeoutStore = client(SHORT_TIMEOUT)) {
      shortTimeoutStore.watch("/t/", 1, queueing(seen));
      long first = requireApplied(shortTimeoutStore.compareAndSwap("/t/1", 0, "a"));
      assertThat(seen.poll(10, TimeUnit.SECONDS).entry().modRevision()).isEqualTo(first);
      platform.faults().silenceOpenConnections();
      assertThat(shortTimeoutStore.get("/t/1").join()).isInstanceOf(ReadResult.Unavailable.class);
      long second = requireApplied(shortTimeoutStore.compareAndSwap("/t/1", first, "b"));
      assertThat(seen.poll(10, TimeUnit.SECONDS).entry().modRevision()).isEqualTo(second);
    }
  }

  @Test
  void testClientAndPlatformCountEachCall() {
    store.get("/k").join();
    store.compareAndSwap("/k", 0, "a").join();
    assertThat(platform.counts().of(CallKind.RANGE)).isEqualTo(1);
    assertThat(platform.counts().of(CallKind.TXN)).isEqualTo(1);
    assertThat(metrics.counter("platform.calls.transaction").getCount()).isEqualTo(1);
  }

  @Test
  void testInstanceListReportsInstancesThatAreLeaving() {
    platform.register(new PlatformInstance("i1", "127.0.0.1", 7001, 7002, "hall-liben"));
    platform.register(new PlatformInstance("i2", "127.0.0.1", 7003, 7004, "hall-chodov"));
    platform.leaving("i2");
    InstanceList list = new EndpointSliceInstanceList(List.of(endpoint), TIMEOUT, metrics);
    assertThat(list.list().join())
        .isEqualTo(
            new InstanceList.Listed(
                List.of(
                    new ListedInstance("i1", "127.0.0.1", 7001, 7002, "hall-liben", false),
                    new ListedInstance("i2", "127.0.0.1", 7003, 7004, "hall-chodov", true))));
  }

  @Test
  void testInstanceListMayLackNewInstances() {
    platform.setListLag(Duration.ofDays(1));
    platform.register(new PlatformInstance("i1", "127.0.0.1", 7001, 7002, "hall-liben"));
    InstanceList list = new EndpointSliceInstanceList(List.of(endpoint), TIMEOUT, metrics);
    assertThat(list.list().join()).isEqualTo(new InstanceList.Listed(List.of()));
  }
}

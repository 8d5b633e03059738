package org.chicorylane.internal.proxy;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.chicorylane.internal.passthrough.ModelServer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Random faults against a whole fleet, with the promises checked at each statement and at the end.
 * {@code -Dfleet.seeds=1000 -Dfleet.firstSeed=1} runs more.
 */
final class ProxyFleetRandomisedTest {

  /**
   * Seeds that failed once. 1102: a home with an old record made a later home stop, which nobody
   * replaced.
   */
  private static final List<Long> FAILED_BEFORE = List.of(1102L);

  static LongStream seeds() {
    long first = Long.getLong("fleet.firstSeed", 1);
    LongStream asked = LongStream.range(first, first + Long.getLong("fleet.seeds", 30));
    return LongStream.concat(asked, FAILED_BEFORE.stream().mapToLong(Long::longValue));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void testPromisesHold(long seed) {
    play(seed, false);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void testPromisesHoldWhileServersAreReplaced(long seed) {
    play(seed, true);
  }

  private static void play(long seed, boolean replacing) {
    Random random = new Random(seed);
    ModelFleet fleet = new ModelFleet(3 + random.nextInt(3));
    fleet.logging = Boolean.getBoolean("fleet.log");
    ModelClients clients = new ModelClients(fleet, random);
    fleet.start();
    clients.begin(9);
    fleet.advance(1_000);
    for (int i = 0; i < 8; i++) {
      if (replacing && random.nextInt(3) == 0) {
        List<String> ids = fleet.serverIds();
        String old = ids.get(random.nextInt(ids.size()));
        if (fleet.group.server(old).running) {
          fleet.replaceServer(old, "server-" + i);
        }
      }
      inject(fleet, random);
      fleet.advance(random.nextInt(4) == 0 ? 50 : 2_500);
    }
    fleet.advance(12_000);
    final int before = clients.succeeded;
    fleet.advance(12_000);
    clients.stop();
    fleet.advance(4_000);
    clients.checkLog();
    if (fleet.logging) {
      fleet.lines.forEach(System.out::println);
    }
    assertWithMessage("seed %s", seed).that(clients.violations).isEmpty();
    assertWithMessage("seed %s", seed).that(fleet.violations).isEmpty();
    assertWithMessage("seed %s: served after the faults", seed)
        .that(clients.succeeded - before)
        .isGreaterThan(300);
  }

  /** Begins a fault and schedules its end. */
  private static void inject(ModelFleet fleet, Random random) {
    ModelHost host = fleet.hosts().get(random.nextInt(fleet.hosts().size()));
    ModelHost home = random.nextBoolean() ? fleet.home().orElse(host) : host;
    ModelServer server = fleet.group.server(fleet.serverIds().get(random.nextInt(3)));
    int lasts = 500 + random.nextInt(6_000);
    switch (random.nextInt(12)) {
      case 0 -> {
        home.kill();
        later(fleet, 700, () -> startIfDown(home));
      }
      case 1 -> {
        home.freeze();
        later(fleet, lasts, home::thaw);
      }
      case 2 -> {
        server.crash();
        later(fleet, lasts, server::restart);
      }
      case 3 -> {
        server.unresponsive = true;
        later(fleet, lasts, () -> server.unresponsive = false);
      }
      case 4 -> {
        server.ignoresReplication = true;
        later(fleet, lasts, () -> server.ignoresReplication = false);
      }
      case 5 -> {
        fleet.storeDown = true;
        later(fleet, lasts, () -> fleet.storeDown = false);
      }
      case 6 -> {
        home.storeAway = true;
        later(fleet, 2L * lasts, () -> home.storeAway = false);
      }
      case 7 -> {
        home.unreachableServers.add(fleet.serverIds().get(random.nextInt(3)));
        later(fleet, lasts, home.unreachableServers::clear);
      }
      case 8 -> {
        fleet.hosts().stream()
            .filter(h -> !h.name.equals(home.name))
            .forEach(h -> home.unreachableHosts.add(h.name));
        later(fleet, lasts, home.unreachableHosts::clear);
      }
      case 9 -> {
        home.lostAnswers = true;
        later(fleet, lasts, () -> home.lostAnswers = false);
      }
      case 10 -> {
        Split split = Split.begin(fleet, home, server);
        later(fleet, 2L * lasts, split::end);
      }
      default -> {
        server.lag = Duration.ofMillis(2_500);
        later(fleet, lasts, () -> server.lag = Duration.ofMillis(20));
      }
    }
  }

  private static void startIfDown(ModelHost host) {
    if (!host.running) {
      host.start();
    }
  }

  private static void later(ModelFleet fleet, long millis, Runnable end) {
    fleet.scheduler.schedule(Duration.ofMillis(millis), end);
  }
}

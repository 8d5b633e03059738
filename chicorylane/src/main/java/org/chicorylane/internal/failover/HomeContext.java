package org.chicorylane.internal.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.chicorylane.internal.declaration.BackendServer;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.jspecify.annotations.Nullable;

/**
 * The state that the components of one {@link HomeStateMachine} share: the declared group, the
 * current time, the server controls and the collected actions. Not thread-safe.
 */
final class HomeContext {
  private final String instance;
  private final FailoverTimings timings;
  private final Random random;
  private final TreeMap<String, ServerControl> controls = new TreeMap<>();
  private final Map<String, String> addresses = new HashMap<>();
  private List<HomeAction> actions = new ArrayList<>();
  private DatabaseGroup group;
  private Instant now = Instant.EPOCH;
  private boolean observeEachTick;
  private long promoterCount;

  HomeContext(String instance, DatabaseGroup group, FailoverTimings timings, long seed) {
    this.instance = instance;
    this.group = group;
    this.timings = timings;
    this.random = new Random(seed);
    declare(group);
  }

  /**
   * Applies a new declaration of the group. The controls of servers that are no longer declared
   * stay until {@link #removeUndeclaredExcept}.
   */
  void declare(DatabaseGroup declared) {
    group = declared;
    for (BackendServer server : declared.servers()) {
      addresses.put(server.name(), server.host() + ":" + server.port());
      controls.computeIfAbsent(server.name(), name -> new ServerControl(name, this));
    }
  }

  /** Closes and removes the controls of servers that are neither declared nor voters. */
  void removeUndeclaredExcept(Collection<String> voters) {
    controls
        .values()
        .removeIf(
            control -> {
              boolean isNeeded = isDeclared(control.name()) || voters.contains(control.name());
              if (!isNeeded) {
                control.close();
              }
              return !isNeeded;
            });
  }

  String instance() {
    return instance;
  }

  FailoverTimings timings() {
    return timings;
  }

  DatabaseGroup group() {
    return group;
  }

  Instant now() {
    return now;
  }

  void setNow(Instant time) {
    now = time;
  }

  boolean isDue(Instant time) {
    return !now.isBefore(time);
  }

  /** Returns whether at least {@code duration} has passed since {@code since}. */
  boolean hasPassed(Duration duration, Instant since) {
    return !since.isAfter(now.minus(duration));
  }

  /**
   * Sets whether servers are observed on each tick instead of each heartbeat, used while the
   * primary waits for replicas to catch up.
   */
  void setObserveEachTick(boolean enabled) {
    observeEachTick = enabled;
  }

  /** Returns the current interval between observations. */
  Duration heartbeat() {
    return observeEachTick ? FailoverTimings.TICK_INTERVAL : timings.heartbeat();
  }

  /** Returns a random duration between 0.5 and 1.5 times {@code mean}. */
  Duration jittered(Duration mean) {
    return Duration.ofNanos((long) (mean.toNanos() * (0.5 + random.nextDouble())));
  }

  /**
   * Returns the jittered exponential backoff after {@code failures} consecutive failures.
   *
   * @param first the mean wait after the first failure
   * @param limit the longest mean wait
   */
  Duration backoff(Duration first, Duration limit, int failures) {
    long factor = 1L << Math.min(Math.max(failures - 1, 0), 10);
    Duration mean = first.multipliedBy(factor);
    return jittered(mean.compareTo(limit) < 0 ? mean : limit);
  }

  /** Returns an id that is unique to one attempt to change a record. */
  String newPromoterId() {
    promoterCount++;
    return instance + "-" + Long.toHexString(random.nextLong()) + "-" + promoterCount;
  }

  Collection<ServerControl> controls() {
    return controls.values();
  }

  @Nullable ServerControl control(String server) {
    return controls.get(server);
  }

  /**
   * Returns {@code host:port} of a server that is or was declared; null if it was never declared.
   */
  @Nullable String address(String server) {
    return addresses.get(server);
  }

  boolean isDeclared(String server) {
    return group.server(server).isPresent();
  }

  /** Returns whether the server is declared and takes new work. */
  boolean takesNewWork(String server) {
    return group.server(server).map(s -> s.state().takesNewWork()).orElse(false);
  }

  void emit(HomeAction action) {
    actions.add(action);
  }

  void report(HomeReport report, String detail) {
    emit(new HomeAction.Report(report, detail));
  }

  /** Removes and returns the actions that were emitted since the last call. */
  List<HomeAction> removeActions() {
    List<HomeAction> removed = actions;
    actions = new ArrayList<>();
    return removed;
  }
}

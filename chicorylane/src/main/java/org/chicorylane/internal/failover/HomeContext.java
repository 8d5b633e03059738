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

/** What the parts of one {@link HomeStateMachine} share. Not thread-safe. */
final class HomeContext {
  private final String instance;
  private final FailoverTimings timings;
  private final Random random;
  private final TreeMap<String, ServerControl> controls = new TreeMap<>();
  private final Map<String, String> addresses = new HashMap<>();
  private List<HomeAction> actions = new ArrayList<>();
  private DatabaseGroup group;
  private Instant now = Instant.EPOCH;
  private boolean eager;
  private long promoters;

  HomeContext(String instance, DatabaseGroup group, FailoverTimings timings, long seed) {
    this.instance = instance;
    this.group = group;
    this.timings = timings;
    this.random = new Random(seed);
    declare(group);
  }

  /** Takes a new declaration; servers that are no longer declared keep their control for now. */
  void declare(DatabaseGroup declared) {
    group = declared;
    for (BackendServer server : declared.servers()) {
      addresses.put(server.name(), server.host() + ":" + server.port());
      controls.computeIfAbsent(server.name(), name -> new ServerControl(name, this));
    }
  }

  /** Forgets servers that are neither declared nor voters. */
  void forgetExcept(Collection<String> voters) {
    controls
        .values()
        .removeIf(
            control -> {
              boolean needed = isDeclared(control.name()) || voters.contains(control.name());
              if (!needed) {
                control.close();
              }
              return !needed;
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

  boolean hasPassed(Duration duration, Instant since) {
    return !since.isAfter(now.minus(duration));
  }

  /** Sets whether observations come with each tick, while replicas are waited for. */
  void setEager(boolean isEager) {
    eager = isEager;
  }

  /** Returns the interval of observations in force. */
  Duration heartbeat() {
    return eager ? FailoverTimings.TICK_INTERVAL : timings.heartbeat();
  }

  /** Returns a duration between half and one and a half of {@code mean}. */
  Duration jittered(Duration mean) {
    return Duration.ofNanos((long) (mean.toNanos() * (0.5 + random.nextDouble())));
  }

  /** Returns the jittered wait after {@code failures} failures in a row. */
  Duration backoff(Duration first, Duration limit, int failures) {
    long factor = 1L << Math.min(Math.max(failures - 1, 0), 10);
    Duration mean = first.multipliedBy(factor);
    return jittered(mean.compareTo(limit) < 0 ? mean : limit);
  }

  /** Returns an id that no other try to change a record has. */
  String newPromoter() {
    promoters++;
    return instance + "-" + Long.toHexString(random.nextLong()) + "-" + promoters;
  }

  Collection<ServerControl> controls() {
    return controls.values();
  }

  @Nullable ServerControl control(String server) {
    return controls.get(server);
  }

  /** Returns {@code host:port} of a server that is or was declared; null if it never was. */
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

  List<HomeAction> takeActions() {
    List<HomeAction> taken = actions;
    actions = new ArrayList<>();
    return taken;
  }
}

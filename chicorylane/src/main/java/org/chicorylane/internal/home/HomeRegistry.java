package org.chicorylane.internal.home;

import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.chicorylane.internal.declaration.DatabaseGroup;
import org.chicorylane.internal.failover.HomeEvent;
import org.chicorylane.internal.outcome.NotRunReason;
import org.chicorylane.internal.outcome.Outcome;
import org.chicorylane.internal.relay.GroupRequest;
import org.chicorylane.internal.relay.GroupService;
import org.chicorylane.internal.relay.PeerAddress;
import org.chicorylane.internal.relay.ProbeResult;

/**
 * The group homes of this instance: groups that it is home of, or may become home of.
 *
 * <p>An instance keeps state only for groups whose first few candidates include it, so that the
 * number of groups per instance stays small whatever the size of the fleet. Thread-safe.
 */
public final class HomeRegistry implements GroupService {
  /** How many of a group's candidates keep a {@link GroupHome}, ready to take over. */
  private static final int READY_CANDIDATES = 3;

  private final HomeEnvironment environment;
  private final EventLoopGroup loops;
  private final ServerProbe probe;
  private final Map<String, GroupHome> homes = new ConcurrentHashMap<>();
  private final Map<String, DatabaseGroup> declared = new HashMap<>();
  private boolean draining;

  /**
   * Creates a registry without homes; {@link #refresh} adds them.
   *
   * @param environment the dependencies that all homes share
   * @param loops the event loops that homes run on; this class does not shut them down
   */
  public HomeRegistry(HomeEnvironment environment, EventLoopGroup loops) {
    this.environment = environment;
    this.loops = loops;
    this.probe = new ServerProbe(environment.connector());
  }

  @Override
  public CompletableFuture<Outcome> submit(GroupRequest request) {
    GroupHome home = homes.get(request.group());
    if (home != null) {
      return home.submit(request);
    }
    if (!environment.declarations().get().groups().containsKey(request.group())) {
      return CompletableFuture.completedFuture(
          new Outcome.NotRun(
              NotRunReason.UNKNOWN_GROUP,
              Duration.ZERO,
              "database group \"" + request.group() + "\" is not declared"));
    }
    return CompletableFuture.completedFuture(
        new Outcome.NotRun(NotRunReason.NOT_HOME, Duration.ZERO, ""));
  }

  /**
   * Applies the current declarations and list of live instances; called when either changes.
   *
   * <p>Starts homes of groups that this instance is now a leading candidate for, and stops those of
   * groups that are no longer declared.
   */
  public synchronized void refresh() {
    if (draining) {
      return;
    }
    Map<String, DatabaseGroup> groups = environment.declarations().get().groups();
    for (DatabaseGroup group : groups.values()) {
      List<String> candidates =
          environment.fleet().candidates(group.name()).stream().map(PeerAddress::instance).toList();
      String self = environment.fleet().self().instance();
      int rank = candidates.indexOf(self);
      GroupHome home = homes.get(group.name());
      if (home == null && rank >= 0 && rank < READY_CANDIDATES) {
        home = startHome(group);
      }
      if (home != null) {
        if (!group.equals(declared.put(group.name(), group))) {
          home.post(new HomeEvent.GroupChanged(group));
        }
        home.refreshRequestClasses();
        home.post(new HomeEvent.CandidatesChanged(rank == 0, candidates));
      }
    }
    for (String name : List.copyOf(homes.keySet())) {
      if (!groups.containsKey(name)) {
        declared.remove(name);
        Optional.ofNullable(homes.remove(name)).ifPresent(GroupHome::stop);
      }
    }
  }

  /**
   * Makes this instance take over as home of {@code group} at the request of another instance.
   *
   * <p>Ignored if the group is not declared or this instance is draining.
   *
   * @param from the instance that asks
   */
  public synchronized void takeHome(String group, String from) {
    DatabaseGroup found = environment.declarations().get().groups().get(group);
    if (found == null || draining) {
      return;
    }
    GroupHome home = homes.get(group);
    if (home == null) {
      home = startHome(found);
      declared.put(group, found);
    }
    home.post(new HomeEvent.TakeoverRequested(from));
  }

  /**
   * Probes a backend server for another instance; completes with unreachable if the group is not
   * declared.
   */
  public CompletableFuture<ProbeResult> probe(String group, String server) {
    DatabaseGroup found = environment.declarations().get().groups().get(group);
    return found == null
        ? CompletableFuture.completedFuture(ProbeResult.UNREACHABLE)
        : probe.probe(found, server);
  }

  /** Hands every group over; completes when no home has anything left to do. */
  public synchronized CompletableFuture<Void> drain() {
    draining = true;
    return CompletableFuture.allOf(
        homes.values().stream().map(GroupHome::drain).toArray(CompletableFuture[]::new));
  }

  /** Releases every group immediately. */
  public synchronized void stop() {
    draining = true;
    homes.values().forEach(GroupHome::stop);
    homes.clear();
  }

  private GroupHome startHome(DatabaseGroup group) {
    long seed = environment.processId().hashCode() * 31L + group.name().hashCode();
    GroupHome home = new GroupHome(environment, group, loops.next(), seed);
    homes.put(group.name(), home);
    return home;
  }
}

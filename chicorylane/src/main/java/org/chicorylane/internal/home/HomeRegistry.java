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
 * The groups that are homed on this instance, or may be next.
 *
 * <p>Only the first candidates of a group keep anything about it, so that an instance carries a few
 * groups whatever the fleet's size. Thread-safe.
 */
public final class HomeRegistry implements GroupService {
  /** How many candidates of a group stand ready to be its home. */
  private static final int READY_CANDIDATES = 3;

  private final HomeEnvironment environment;
  private final EventLoopGroup loops;
  private final ServerProbe probe;
  private final Map<String, GroupHome> homes = new ConcurrentHashMap<>();
  private final Map<String, DatabaseGroup> declared = new HashMap<>();
  private boolean draining;

  /**
   * Makes a registry without homes; {@link #refresh} fills it.
   *
   * @param environment what its homes share
   * @param loops the event loops that homes run on; not shut down by this class
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

  /** Takes in the declarations in force and the live instances; called when either changes. */
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
        home = start(group);
      }
      if (home != null) {
        if (!group.equals(declared.put(group.name(), group))) {
          home.tell(new HomeEvent.GroupChanged(group));
        }
        home.refreshClasses();
        home.tell(new HomeEvent.CandidatesChanged(rank == 0, candidates));
      }
    }
    for (String name : List.copyOf(homes.keySet())) {
      if (!groups.containsKey(name)) {
        declared.remove(name);
        Optional.ofNullable(homes.remove(name)).ifPresent(GroupHome::stop);
      }
    }
  }

  /** Takes the home of {@code group}, as another instance asks. */
  public synchronized void takeHome(String group, String from) {
    DatabaseGroup found = environment.declarations().get().groups().get(group);
    if (found == null || draining) {
      return;
    }
    GroupHome home = homes.get(group);
    if (home == null) {
      home = start(found);
      declared.put(group, found);
    }
    home.tell(new HomeEvent.TakeoverRequested(from));
  }

  /** Probes a backend server for another instance. */
  public CompletableFuture<ProbeResult> probe(String group, String server) {
    DatabaseGroup found = environment.declarations().get().groups().get(group);
    return found == null
        ? CompletableFuture.completedFuture(ProbeResult.UNREACHABLE)
        : probe.probe(found, server);
  }

  /** Hands every group over; completes when nothing runs here any more. */
  public synchronized CompletableFuture<Void> drain() {
    draining = true;
    return CompletableFuture.allOf(
        homes.values().stream().map(GroupHome::drain).toArray(CompletableFuture[]::new));
  }

  /** Lets go of every group at once. */
  public synchronized void stop() {
    draining = true;
    homes.values().forEach(GroupHome::stop);
    homes.clear();
  }

  private GroupHome start(DatabaseGroup group) {
    long seed = environment.processId().hashCode() * 31L + group.name().hashCode();
    GroupHome home = new GroupHome(environment, group, loops.next(), seed);
    homes.put(group.name(), home);
    return home;
  }
}

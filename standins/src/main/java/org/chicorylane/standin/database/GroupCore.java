package org.chicorylane.standin.database;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * What the servers of one group share: threads, each other's addresses and the network between.
 *
 * <p>Thread-safe.
 */
final class GroupCore {

  /** A broken path between two servers, in the order of their names. */
  private record BrokenPath(String first, String second) {
    static BrokenPath of(String a, String b) {
      return a.compareTo(b) < 0 ? new BrokenPath(a, b) : new BrokenPath(b, a);
    }
  }

  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

  private final GroupOptions options;
  private final List<StandInServer> servers = new CopyOnWriteArrayList<>();
  private final Set<BrokenPath> brokenPaths = ConcurrentHashMap.newKeySet();
  private final ExecutorService executor;
  private final ScheduledExecutorService scheduler;

  GroupCore(GroupOptions options) {
    this.options = options;
    executor = Executors.newCachedThreadPool(daemons("standin-" + options.name() + "-session-"));
    scheduler =
        Executors.newSingleThreadScheduledExecutor(
            daemons("standin-" + options.name() + "-timer-"));
  }

  private static ThreadFactory daemons(String prefix) {
    AtomicInteger sequence = new AtomicInteger();
    return task -> {
      Thread thread = new Thread(task, prefix + sequence.incrementAndGet());
      thread.setDaemon(true);
      return thread;
    };
  }

  GroupOptions options() {
    return options;
  }

  ExecutorService executor() {
    return executor;
  }

  ScheduledExecutorService scheduler() {
    return scheduler;
  }

  void add(StandInServer server) {
    servers.add(server);
  }

  List<StandInServer> servers() {
    return servers;
  }

  @Nullable ServerCore serverAt(ConnectionInfo info) {
    for (StandInServer s : servers) {
      if (s.port() == info.port() && s.host().equals(info.host())) {
        return s.core();
      }
    }
    return null;
  }

  void wakeFollowers(ServerCore upstream) {
    for (StandInServer s : servers) {
      if (s.core().replication().follows(upstream)) {
        s.core().wakeReceiver();
      }
    }
  }

  boolean hasLaggingFollower(ServerCore upstream) {
    long end = upstream.replication().log().endLsn();
    for (StandInServer s : servers) {
      ReplicationSnapshot snapshot = s.core().replication().snapshot();
      ConnectionInfo from = snapshot.upstream();
      boolean follows = from != null && serverAt(from) == upstream;
      if (follows && connected(s.core(), upstream) && snapshot.endLsn() < end) {
        return true;
      }
    }
    return false;
  }

  boolean connected(ServerCore a, ServerCore b) {
    return brokenPaths.isEmpty() || !brokenPaths.contains(BrokenPath.of(a.name(), b.name()));
  }

  void breakPath(String a, String b) {
    brokenPaths.add(BrokenPath.of(a, b));
  }

  void healPaths() {
    brokenPaths.clear();
  }

  void close() {
    scheduler.shutdownNow();
    executor.shutdown();
    try {
      if (!executor.awaitTermination(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
        executor.shutdownNow();
      }
    } catch (InterruptedException e) {
      executor.shutdownNow();
      Thread.currentThread().interrupt();
    }
  }
}

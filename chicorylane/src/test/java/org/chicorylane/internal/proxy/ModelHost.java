package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.chicorylane.internal.mesh.MeshChannel;
import org.chicorylane.internal.mesh.MeshTransport;
import org.chicorylane.internal.mesh.NettyMeshTransport;
import org.chicorylane.internal.mesh.generated.MeshFrame;
import org.chicorylane.internal.passthrough.Answer;
import org.chicorylane.internal.passthrough.ServerCommand;
import org.chicorylane.internal.passthrough.ServerConnector;
import org.chicorylane.internal.passthrough.ServerLink;
import org.chicorylane.internal.platform.InMemoryKeyValueStore;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.platform.StoreTransaction;
import org.chicorylane.internal.platform.WatchListener;
import org.chicorylane.internal.platform.WriteResult;
import org.chicorylane.internal.position.LogPosition;
import org.chicorylane.internal.runtime.DecisionLog;
import org.chicorylane.internal.runtime.Scheduler;
import org.chicorylane.internal.topology.PeerInstance;
import org.jspecify.annotations.Nullable;

/** One instance of a model fleet: its process, its links and its view of the store. */
final class ModelHost implements Scheduler, MeshTransport, ServerConnector, KeyValueStore {

  private static final Duration ONE_WAY = Duration.ofMillis(1);
  private static final Duration STORE_DELAY = Duration.ofMillis(4);
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_500);
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  final ModelFleet fleet;
  final String name;
  final Set<String> unreachableServers = new HashSet<>();
  final Set<String> unreachableHosts = new HashSet<>();
  private final List<Runnable> endings = new ArrayList<>();
  boolean running;
  boolean frozen;
  boolean storeAway;
  boolean lostAnswers;
  private boolean lastCallFailed;
  private int life;
  private final List<Runnable> held = new ArrayList<>();
  @Nullable ProxyInstance instance;

  ModelHost(ModelFleet fleet, String name) {
    this.fleet = fleet;
    this.name = name;
  }

  String address() {
    return name + ":1";
  }

  void start() {
    running = true;
    frozen = false;
    life++;
    lastCallFailed = false;
    PeerInstance self = new PeerInstance(name, name + "-" + life, address(), "zone-" + name, 100);
    instance =
        new ProxyInstance(
            self,
            new ProxyInstance.Ports(
                this,
                () -> lastCallFailed,
                this,
                fleet::promote,
                fleet,
                this,
                this,
                fleet.logging ? fleet.log(name) : DecisionLog.none()));
    instance.start();
  }

  void kill() {
    running = false;
    life++;
    instance = null;
    held.clear();
    List<Runnable> open = new ArrayList<>(endings);
    endings.clear();
    open.forEach(Runnable::run);
  }

  void freeze() {
    frozen = true;
  }

  void thaw() {
    frozen = false;
    List<Runnable> tasks = new ArrayList<>(held);
    held.clear();
    tasks.forEach(this::execute);
  }

  private void execute(Runnable task) {
    if (frozen) {
      held.add(task);
    } else {
      task.run();
    }
  }

  /** Runs a task in this process {@code delay} from now, if it still is the same life. */
  void later(Duration delay, Runnable task) {
    int mine = life;
    fleet.scheduler.schedule(
        delay,
        () -> {
          if (running && mine == life) {
            execute(task);
          }
        });
  }

  @Override
  public long nanoTime() {
    return fleet.scheduler.nanoTime();
  }

  @Override
  public Timer schedule(Duration delay, Runnable task) {
    boolean[] cancelled = new boolean[1];
    later(
        delay,
        () -> {
          if (!cancelled[0]) {
            task.run();
          }
        });
    return () -> cancelled[0] = true;
  }

  boolean reaches(ModelHost other) {
    return !unreachableHosts.contains(other.name) && !other.unreachableHosts.contains(name);
  }

  @Override
  public void connect(String address, MeshTransport.Listener listener) {
    ModelHost target = fleet.host(address.substring(0, address.indexOf(':')));
    if (target == null || !reaches(target) || (target.frozen && target.running)) {
      later(CONNECT_TIMEOUT, () -> listener.onFailure(false));
    } else if (!target.running) {
      later(ONE_WAY.plus(ONE_WAY), () -> listener.onFailure(true));
    } else {
      Pipe pipe = new Pipe(this, target, listener);
      later(ONE_WAY.plus(ONE_WAY), () -> listener.onOpen(pipe.near));
    }
  }

  @Override
  public void connect(Target target, ServerConnector.Listener listener) {
    if (unreachableServers.contains(target.serverId())) {
      later(
          CONNECT_TIMEOUT, () -> listener.onFailure(ServerConnector.ConnectFailure.SILENT, "cut"));
      return;
    }
    fleet.group(target.group()).connect(target, new HostedListener(target.serverId(), listener));
  }

  /** A connection between two instances. */
  private static final class Pipe {
    private final ModelHost from;
    private final ModelHost to;
    private final MeshTransport.Listener listener;
    private final int toLife;
    final MeshChannel near = new End(true);
    private final MeshChannel far = new End(false);
    private boolean closed;

    Pipe(ModelHost from, ModelHost to, MeshTransport.Listener listener) {
      this.from = from;
      this.to = to;
      this.listener = listener;
      this.toLife = to.life;
      from.endings.add(this::close);
      to.endings.add(this::close);
    }

    private void close() {
      if (closed) {
        return;
      }
      closed = true;
      if (from.running) {
        from.later(ONE_WAY, listener::onClosed);
      }
      if (to.running && to.life == toLife) {
        to.later(ONE_WAY, () -> acceptor().onClosed(far));
      }
    }

    private NettyMeshTransport.MeshAcceptor acceptor() {
      ProxyInstance target = to.instance;
      if (target == null) {
        throw new AssertionError(to.name + " is not running");
      }
      return target.meshAcceptor();
    }

    /** One side of the pipe. */
    private final class End implements MeshChannel {
      private final boolean isNear;

      End(boolean isNear) {
        this.isNear = isNear;
      }

      @Override
      public void send(MeshFrame frame) {
        if (closed || !from.reaches(to)) {
          return;
        }
        if (isNear) {
          to.later(
              ONE_WAY,
              () -> {
                if (!closed && to.life == toLife) {
                  acceptor().onFrame(far, frame);
                }
              });
        } else {
          from.later(
              ONE_WAY,
              () -> {
                if (!closed) {
                  listener.onFrame(frame);
                }
              });
        }
      }

      @Override
      public void close() {
        Pipe.this.close();
      }
    }
  }

  /** Passes on what a server's connection does, as long as this process lives. */
  private final class HostedListener implements ServerConnector.Listener {
    private final String serverId;
    private final ServerConnector.Listener listener;
    private final int mine = life;

    HostedListener(String serverId, ServerConnector.Listener listener) {
      this.serverId = serverId;
      this.listener = listener;
    }

    @Override
    public void onOpen(ServerLink link, @Nullable LogPosition position) {
      if (mine != life || !running) {
        link.close();
        return;
      }
      endings.add(link::close);
      execute(() -> listener.onOpen(new HostedLink(link), position));
    }

    @Override
    public void onFailure(ServerConnector.ConnectFailure failure, String detail) {
      if (mine == life && running) {
        execute(() -> listener.onFailure(failure, detail));
      }
    }

    @Override
    public void onClosed() {
      if (mine == life && running) {
        execute(listener::onClosed);
      }
    }

    /** A link whose handlers run in this process. */
    private final class HostedLink implements ServerLink {
      private final ServerLink link;

      HostedLink(ServerLink link) {
        this.link = link;
      }

      @Override
      public void send(ServerCommand command, AnswerHandler handler) {
        if (unreachableServers.contains(serverId)) {
          return;
        }
        link.send(
            command,
            new AnswerHandler() {
              @Override
              public void onAnswer(Answer answer) {
                if (mine == life && running && !unreachableServers.contains(serverId)) {
                  execute(() -> handler.onAnswer(answer));
                }
              }

              @Override
              public void onLost() {
                if (mine == life && running) {
                  execute(handler::onLost);
                }
              }
            });
      }

      @Override
      public void close() {
        link.close();
      }
    }
  }

  private InMemoryKeyValueStore store() {
    return fleet.store;
  }

  private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> action, T failed) {
    CompletableFuture<T> result = new CompletableFuture<>();
    if (storeAway || fleet.storeDown) {
      later(
          STORE_TIMEOUT,
          () -> {
            lastCallFailed = true;
            result.complete(failed);
          });
      return result;
    }
    later(
        STORE_DELAY,
        () ->
            action
                .get()
                .thenAccept(
                    value -> {
                      if (lostAnswers && value instanceof WriteResult) {
                        later(STORE_TIMEOUT, () -> result.complete(failed));
                        return;
                      }
                      lastCallFailed = false;
                      result.complete(value);
                    }));
    return result;
  }

  @Override
  public CompletableFuture<ReadResult> get(String key) {
    return call(() -> store().get(key), new ReadResult.Unavailable("away"));
  }

  @Override
  public CompletableFuture<ReadResult> getAt(String key, long revision) {
    return CompletableFuture.completedFuture(new ReadResult.Refused("not kept"));
  }

  @Override
  public CompletableFuture<ReadResult> range(String prefix) {
    return call(() -> store().range(prefix), new ReadResult.Unavailable("away"));
  }

  @Override
  public CompletableFuture<WriteResult> transact(StoreTransaction transaction) {
    return call(
        () -> store().transact(transaction), new WriteResult.Unavailable("no answer", true));
  }

  @Override
  public Watch watch(String prefix, long fromRevision, WatchListener listener) {
    boolean[] closed = new boolean[1];
    int mine = life;
    Watch[] inner = new Watch[1];
    inner[0] =
        store()
            .watch(
                prefix,
                fromRevision,
                new WatchListener() {
                  @Override
                  public void onChanges(List<Change> changes, long revision) {
                    if (mine == life && running && !closed[0]) {
                      deliver(changes, revision);
                    }
                  }

                  private void deliver(List<Change> changes, long revision) {
                    if (storeAway || fleet.storeDown) {
                      later(Duration.ofMillis(300), () -> deliver(changes, revision));
                    } else {
                      later(
                          STORE_DELAY,
                          () -> {
                            if (!closed[0]) {
                              listener.onChanges(changes, revision);
                            }
                          });
                    }
                  }

                  @Override
                  public void onHistoryLost() {
                    later(STORE_DELAY, listener::onHistoryLost);
                  }
                });
    return () -> {
      closed[0] = true;
      inner[0].close();
    };
  }

  @Override
  public void close() {}
}

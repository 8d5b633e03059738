package org.chicorylane.internal.relay;

import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.chicorylane.internal.relay.generated.RelayFrame;

/**
 * Sends questions to other instances, over one connection per instance that is opened for the first
 * question.
 *
 * <pre>{@code
 * client.ask(peer, RelayFrame.newBuilder().setPing(true), Duration.ofSeconds(1))
 *     .thenAccept(result -> ...);
 * }</pre>
 *
 * <p>A connection that receives nothing for {@link RelayTimings#readTimeout()} is closed and its
 * questions end as {@link RelayResult.Lost}; the next question opens a new one. Thread-safe.
 */
public final class RelayClient implements AutoCloseable {
  private final EventLoopGroup loops;
  private final RelayTimings timings;
  private final Map<PeerAddress, RelayConnection> connections = new ConcurrentHashMap<>();

  /**
   * Creates a client.
   *
   * @param loops the event loops of the connections; not shut down by {@link #close()}
   * @param timings the timings of the connections
   */
  public RelayClient(EventLoopGroup loops, RelayTimings timings) {
    this.loops = loops;
    this.timings = timings;
  }

  /**
   * Sends a question.
   *
   * @param peer the instance to ask
   * @param question the frame; this method sets its id
   * @param timeout how long to wait for the answer
   * @return completes with the result, never exceptionally
   */
  public CompletableFuture<RelayResult> ask(
      PeerAddress peer, RelayFrame.Builder question, Duration timeout) {
    return connections
        .computeIfAbsent(peer, p -> new RelayConnection(p, loops.next(), timings))
        .ask(question, timeout);
  }

  /** Closes the connections to all instances that are not in {@code keep}. */
  public void retain(Set<PeerAddress> keep) {
    connections
        .entrySet()
        .removeIf(
            e -> {
              if (keep.contains(e.getKey())) {
                return false;
              }
              e.getValue().close();
              return true;
            });
  }

  @Override
  public void close() {
    retain(Set.of());
  }
}

package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.chicorylane.internal.mesh.PeerLink;
import org.chicorylane.internal.mesh.generated.MeshQuestion;
import org.chicorylane.internal.mesh.generated.MeshReply;
import org.chicorylane.internal.platform.KeyValueStore;
import org.chicorylane.internal.platform.ReadResult;
import org.chicorylane.internal.platform.StoreTransaction;
import org.chicorylane.internal.platform.WatchListener;
import org.chicorylane.internal.platform.WriteResult;
import org.chicorylane.internal.topology.PeerInstance;

/**
 * A key-value store client that falls back to other instances while the store does not answer this
 * one.
 *
 * <p>A write is sent through another instance only if it was certainly not applied before. Confined
 * to the instance's thread.
 */
final class PeerFallbackStore implements KeyValueStore {

  /** Longer than the peer's own call to the store may take. */
  private static final Duration TIMEOUT = Duration.ofMillis(1_700);

  /** Peers asked for one call, one after the other. */
  private static final int MAXIMUM_PEERS_ASKED = 2;

  private static final WriteResult NO_PEER =
      new WriteResult.Unavailable("no other instance", false);

  private final KeyValueStore direct;
  private final BooleanSupplier storeUnavailable;
  private final Supplier<List<PeerInstance>> peers;
  private final Function<String, PeerLink> links;
  private final String selfName;

  /**
   * Seeded by the instance's name: instances choose differently, and a simulation is repeatable.
   */
  private final Random random;

  /**
   * Creates a client.
   *
   * @param direct the client that calls the store itself
   * @param storeUnavailable returns whether this instance's last call to the store failed
   * @param peers returns the known instances, which may include this one
   * @param links returns the link to an address
   * @param selfName this instance's name
   */
  PeerFallbackStore(
      KeyValueStore direct,
      BooleanSupplier storeUnavailable,
      Supplier<List<PeerInstance>> peers,
      Function<String, PeerLink> links,
      String selfName) {
    this.direct = direct;
    this.storeUnavailable = storeUnavailable;
    this.peers = peers;
    this.links = links;
    this.selfName = selfName;
    this.random = new Random(selfName.hashCode());
  }

  @Override
  public CompletableFuture<ReadResult> get(String key) {
    return range(key)
        .thenApply(
            result ->
                result instanceof ReadResult.Read read
                    ? new ReadResult.Read(
                        read.entries().stream().filter(e -> e.key().equals(key)).toList(),
                        read.revision())
                    : result);
  }

  @Override
  public CompletableFuture<ReadResult> getAt(String key, long revision) {
    return direct.getAt(key, revision);
  }

  @Override
  public CompletableFuture<ReadResult> range(String prefix) {
    if (storeUnavailable.getAsBoolean()) {
      return ask(choosePeers(), StoreMessages.encodeRange(prefix), StoreMessages::decodeRead)
          .thenCompose(
              result ->
                  result instanceof ReadResult.Read
                      ? CompletableFuture.completedFuture(result)
                      : direct.range(prefix));
    }
    return direct
        .range(prefix)
        .thenCompose(
            result ->
                result instanceof ReadResult.Unavailable
                    ? ask(
                        choosePeers(), StoreMessages.encodeRange(prefix), StoreMessages::decodeRead)
                    : CompletableFuture.completedFuture(result));
  }

  @Override
  public CompletableFuture<WriteResult> transact(StoreTransaction transaction) {
    return direct
        .transact(transaction)
        .thenCompose(
            result ->
                result instanceof WriteResult.Unavailable unavailable
                        && !unavailable.mayHaveApplied()
                    ? ask(
                        choosePeers(),
                        StoreMessages.encodeTransaction(transaction),
                        StoreMessages::decodeWrite)
                    : CompletableFuture.completedFuture(result));
  }

  /**
   * Asks the candidates in turn, and stops at the first that returns a result or that may have
   * applied a write.
   */
  private <T> CompletableFuture<T> ask(
      List<PeerInstance> candidates, MeshQuestion.Builder question, Function<MeshReply, T> decode) {
    CompletableFuture<T> result = new CompletableFuture<>();
    if (candidates.isEmpty()) {
      result.complete(decode.apply(StoreMessages.encodeReply(NO_PEER).build()));
      return result;
    }
    links
        .apply(candidates.get(0).address())
        .ask(
            question.clone(),
            TIMEOUT,
            (reply, sent) -> {
              T decoded =
                  decode.apply(
                      reply != null
                          ? reply
                          : sent
                              ? MeshReply.getDefaultInstance()
                              : StoreMessages.encodeReply(NO_PEER).build());
              boolean canAskNext =
                  decoded instanceof ReadResult.Unavailable
                      || (decoded instanceof WriteResult.Unavailable w && !w.mayHaveApplied());
              if (canAskNext && candidates.size() > 1) {
                ask(candidates.subList(1, candidates.size()), question, decode)
                    .thenAccept(result::complete);
              } else {
                result.complete(decoded);
              }
            });
    return result;
  }

  private List<PeerInstance> choosePeers() {
    List<PeerInstance> others = new ArrayList<>(peers.get());
    others.removeIf(p -> p.name().equals(selfName));
    Collections.shuffle(others, random);
    return others.subList(0, Math.min(MAXIMUM_PEERS_ASKED, others.size()));
  }

  @Override
  public Watch watch(String prefix, long fromRevision, WatchListener listener) {
    return direct.watch(prefix, fromRevision, listener);
  }

  @Override
  public void close() {
    direct.close();
  }
}

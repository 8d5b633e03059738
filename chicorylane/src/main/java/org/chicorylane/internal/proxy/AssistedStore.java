package org.chicorylane.internal.proxy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
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
 * The key-value store, reached through other instances while it does not answer this one.
 *
 * <p>A call goes on to another instance only if it surely was not executed. Confined to the
 * instance's thread.
 */
final class AssistedStore implements KeyValueStore {

  /** Longer than the other instance's own call may take. */
  private static final Duration TIMEOUT = Duration.ofMillis(1_700);

  /** Instances asked one after the other. */
  private static final int HELPERS = 2;

  private static final WriteResult NO_HELPER =
      new WriteResult.Unavailable("no other instance", false);

  private final KeyValueStore direct;
  private final BooleanSupplier away;
  private final Supplier<List<PeerInstance>> peers;
  private final Function<String, PeerLink> links;
  private final String selfName;

  /**
   * Creates a store.
   *
   * @param away tells whether the store's last answer to this instance was a failure
   */
  AssistedStore(
      KeyValueStore direct,
      BooleanSupplier away,
      Supplier<List<PeerInstance>> peers,
      Function<String, PeerLink> links,
      String selfName) {
    this.direct = direct;
    this.away = away;
    this.peers = peers;
    this.links = links;
    this.selfName = selfName;
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
    if (away.getAsBoolean()) {
      return ask(helpers(), StoreMessages.range(prefix), StoreMessages::readResult)
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
                    ? ask(helpers(), StoreMessages.range(prefix), StoreMessages::readResult)
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
                        helpers(), StoreMessages.transact(transaction), StoreMessages::writeResult)
                    : CompletableFuture.completedFuture(result));
  }

  /** Asks helpers in turn until one gives a result, or may have. */
  private <T> CompletableFuture<T> ask(
      List<PeerInstance> helpers, MeshQuestion.Builder question, Function<MeshReply, T> decode) {
    CompletableFuture<T> result = new CompletableFuture<>();
    if (helpers.isEmpty()) {
      result.complete(decode.apply(StoreMessages.reply(NO_HELPER).build()));
      return result;
    }
    links
        .apply(helpers.get(0).address())
        .ask(
            question.clone(),
            TIMEOUT,
            (reply, refused) -> {
              T decoded =
                  decode.apply(
                      reply != null
                          ? reply
                          : refused
                              ? StoreMessages.reply(NO_HELPER).build()
                              : MeshReply.getDefaultInstance());
              boolean again =
                  decoded instanceof ReadResult.Unavailable
                      || (decoded instanceof WriteResult.Unavailable w && !w.mayHaveApplied());
              if (again && helpers.size() > 1) {
                ask(helpers.subList(1, helpers.size()), question, decode)
                    .thenAccept(result::complete);
              } else {
                result.complete(decoded);
              }
            });
    return result;
  }

  private List<PeerInstance> helpers() {
    List<PeerInstance> others = new ArrayList<>(peers.get());
    others.removeIf(p -> p.name().equals(selfName));
    Collections.shuffle(others);
    return others.subList(0, Math.min(HELPERS, others.size()));
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

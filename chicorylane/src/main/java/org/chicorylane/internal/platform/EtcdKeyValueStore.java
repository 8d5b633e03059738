package org.chicorylane.internal.platform;

import com.codahale.metrics.MetricRegistry;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import org.chicorylane.internal.platform.PlatformHttpClient.Answer;
import org.chicorylane.internal.platform.PlatformHttpClient.HttpResult;
import org.chicorylane.internal.platform.PlatformHttpClient.NoAnswer;

/**
 * Accesses the platform's key-value service through the JSON mapping of the etcd v3 API.
 *
 * <pre>{@code
 * KeyValueStore store =
 *     new EtcdKeyValueStore(List.of(URI.create("http://10.0.0.9:2379")), Options.DEFAULT, metrics);
 * }</pre>
 *
 * <p>Thread-safe. Every call is counted in the registry under {@code platform.calls}; a watch
 * counts once each time its stream is opened.
 */
public final class EtcdKeyValueStore implements KeyValueStore {

  /**
   * Timeouts and delays of the client.
   *
   * @param callTimeout the longest wait for an answer
   * @param watchIdleTimeout how long a watch may receive nothing before its stream is reopened
   * @param watchRetryDelay the wait before a watch reopens a broken stream
   */
  public record Options(Duration callTimeout, Duration watchIdleTimeout, Duration watchRetryDelay) {

    /** The defaults for production use. */
    public static final Options DEFAULT =
        new Options(Duration.ofSeconds(1), Duration.ofSeconds(30), Duration.ofMillis(500));
  }

  private final PlatformHttpClient http;
  private final Options options;
  private final Set<EtcdWatch> watches = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(EtcdKeyValueStore::newThread);
  private volatile boolean closed;

  /**
   * Creates a client. It connects on the first call.
   *
   * @throws IllegalArgumentException if {@code endpoints} is empty
   */
  public EtcdKeyValueStore(List<URI> endpoints, Options options, MetricRegistry metrics) {
    this.http = new PlatformHttpClient(endpoints, options.callTimeout(), metrics);
    this.options = options;
  }

  @Override
  public CompletableFuture<ReadResult> get(String key) {
    return read(EtcdJson.singleKey(key));
  }

  @Override
  public CompletableFuture<ReadResult> getAt(String key, long revision) {
    JsonObject request = EtcdJson.singleKey(key);
    request.addProperty("revision", Long.toString(revision));
    return read(request);
  }

  @Override
  public CompletableFuture<ReadResult> range(String prefix) {
    return read(EtcdJson.prefix(prefix));
  }

  @Override
  public CompletableFuture<WriteResult> transact(StoreTransaction transaction) {
    if (closed) {
      return CompletableFuture.completedFuture(
          new WriteResult.Unavailable("the client is closed", false));
    }
    return http.post(PlatformCallKind.TRANSACTION, EtcdJson.transaction(transaction))
        .thenApply(EtcdKeyValueStore::toWriteResult);
  }

  @Override
  public Watch watch(String prefix, long fromRevision, WatchListener listener) {
    EtcdWatch watch =
        new EtcdWatch(http, options, timer, prefix, fromRevision, listener, watches::remove);
    watches.add(watch);
    watch.open();
    return watch;
  }

  @Override
  public void close() {
    closed = true;
    List.copyOf(watches).forEach(EtcdWatch::close);
    timer.shutdownNow();
  }

  private CompletableFuture<ReadResult> read(JsonObject request) {
    if (closed) {
      return CompletableFuture.completedFuture(new ReadResult.Unavailable("the client is closed"));
    }
    return http.post(PlatformCallKind.RANGE, request).thenApply(EtcdKeyValueStore::toReadResult);
  }

  private static ReadResult toReadResult(HttpResult result) {
    if (result instanceof NoAnswer noAnswer) {
      return new ReadResult.Unavailable(noAnswer.reason());
    }
    Answer answer = (Answer) result;
    if (answer.isRefused()) {
      return new ReadResult.Refused(describe(answer));
    }
    return parse(
        answer,
        json -> new ReadResult.Read(EtcdJson.entries(json), EtcdJson.revision(json)),
        ReadResult.Unavailable::new);
  }

  private static WriteResult toWriteResult(HttpResult result) {
    if (result instanceof NoAnswer noAnswer) {
      return new WriteResult.Unavailable(noAnswer.reason(), noAnswer.sent());
    }
    Answer answer = (Answer) result;
    if (answer.isRefused()) {
      return new WriteResult.Refused(describe(answer));
    }
    return parse(
        answer,
        EtcdKeyValueStore::toWriteResult,
        reason -> new WriteResult.Unavailable(reason, true));
  }

  private static WriteResult toWriteResult(JsonObject json) {
    long revision = EtcdJson.revision(json);
    return EtcdJson.flag(json, "succeeded")
        ? new WriteResult.Applied(revision)
        : new WriteResult.Conflict(EtcdJson.conflictingEntries(json), revision);
  }

  private static <T> T parse(
      Answer answer, Function<JsonObject, T> reader, Function<String, T> failure) {
    if (!answer.isOk()) {
      return failure.apply(describe(answer));
    }
    try {
      return reader.apply(JsonParser.parseString(answer.body()).getAsJsonObject());
    } catch (JsonParseException | IllegalStateException | IllegalArgumentException e) {
      return failure.apply("malformed answer: " + e.getMessage());
    }
  }

  private static String describe(Answer answer) {
    return "HTTP status " + answer.status() + ": " + answer.body().strip();
  }

  private static Thread newThread(Runnable work) {
    Thread thread = new Thread(work, "platform-watch-timer");
    thread.setDaemon(true);
    return thread;
  }
}

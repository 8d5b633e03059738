package org.chicorylane.internal.platform;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Flow;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * A watch of a key prefix that reopens its stream when the stream breaks or stays idle too long.
 * Each stream begins at the revision after the last one received, so no change is missed or
 * reported twice.
 *
 * <p>Thread-safe. All state is guarded by the watch's own lock, which is also held during listener
 * calls, so no call reaches the listener after {@link #close} has returned.
 */
final class EtcdWatch implements KeyValueStore.Watch {

  private final PlatformHttpClient http;
  private final EtcdKeyValueStore.Options options;
  private final ScheduledExecutorService timer;
  private final String prefix;
  private final WatchListener listener;
  private final Consumer<EtcdWatch> onClosed;
  private long nextRevision;
  private boolean closed;

  /** Identifies the current stream; callbacks of earlier streams are ignored. */
  private int generation;

  private @Nullable CompletableFuture<?> stream;
  private @Nullable ScheduledFuture<?> idleTimer;

  EtcdWatch(
      PlatformHttpClient http,
      EtcdKeyValueStore.Options options,
      ScheduledExecutorService timer,
      String prefix,
      long fromRevision,
      WatchListener listener,
      Consumer<EtcdWatch> onClosed) {
    this.http = http;
    this.options = options;
    this.timer = timer;
    this.prefix = prefix;
    this.nextRevision = fromRevision;
    this.listener = listener;
    this.onClosed = onClosed;
  }

  /**
   * Opens a stream that starts at the next revision, in place of the current one if there is one.
   */
  synchronized void open() {
    if (closed) {
      return;
    }
    cancelStream();
    int ownGeneration = ++generation;
    restartIdleTimer(ownGeneration);
    stream =
        http.stream(
            PlatformCallKind.WATCH,
            EtcdJson.watch(prefix, nextRevision),
            new LineSubscriber(ownGeneration));
    stream.whenComplete((response, failure) -> onBroken(ownGeneration));
  }

  @Override
  public void close() {
    synchronized (this) {
      closed = true;
      cancelStream();
    }
    onClosed.accept(this);
  }

  private synchronized void onBroken(int endedGeneration) {
    if (closed || endedGeneration != generation) {
      return;
    }
    http.selectNextEndpoint();
    schedule(options.watchRetryDelay(), () -> reopen(endedGeneration));
  }

  private synchronized void reopen(int endedGeneration) {
    if (endedGeneration == generation) {
      open();
    }
  }

  private synchronized void onLine(int streamGeneration, String line) {
    if (closed || streamGeneration != generation || line.isBlank()) {
      return;
    }
    restartIdleTimer(streamGeneration);
    try {
      JsonObject message = JsonParser.parseString(line).getAsJsonObject();
      JsonObject result = message.getAsJsonObject("result");
      if (result == null) {
        onBroken(streamGeneration);
        return;
      }
      onResult(result);
    } catch (JsonParseException | IllegalStateException | IllegalArgumentException e) {
      onBroken(streamGeneration);
    }
  }

  private void onResult(JsonObject result) {
    if (EtcdJson.flag(result, "canceled")) {
      closed = true;
      cancelStream();
      onClosed.accept(this);
      listener.onHistoryLost();
      return;
    }
    List<WatchListener.Change> changes =
        EtcdJson.changes(result).stream()
            .filter(c -> c.entry().modRevision() >= nextRevision)
            .toList();
    if (changes.isEmpty()) {
      return;
    }
    long last = changes.get(changes.size() - 1).entry().modRevision();
    nextRevision = last + 1;
    listener.onChanges(changes, last);
  }

  private void cancelStream() {
    generation++;
    if (idleTimer != null) {
      idleTimer.cancel(false);
    }
    if (stream != null) {
      stream.cancel(true);
      stream = null;
    }
  }

  private void restartIdleTimer(int expectedGeneration) {
    if (idleTimer != null) {
      idleTimer.cancel(false);
    }
    idleTimer = schedule(options.watchIdleTimeout(), () -> reopen(expectedGeneration));
  }

  /** Schedules work; returns null if the client was closed and the timer rejects it. */
  private @Nullable ScheduledFuture<?> schedule(Duration delay, Runnable work) {
    try {
      return timer.schedule(work, delay.toMillis(), TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      return null;
    }
  }

  /** Passes the lines of one stream to the watch, tagged with the stream's generation. */
  private final class LineSubscriber implements Flow.Subscriber<String> {

    private final int ownGeneration;

    LineSubscriber(int ownGeneration) {
      this.ownGeneration = ownGeneration;
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
      subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
      onLine(ownGeneration, line);
    }

    @Override
    public void onError(Throwable failure) {
      onBroken(ownGeneration);
    }

    @Override
    public void onComplete() {
      onBroken(ownGeneration);
    }
  }
}

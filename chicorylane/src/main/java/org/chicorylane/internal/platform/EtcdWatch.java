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
 * One watch that survives broken and silent streams: each stream begins at the revision after the
 * last one seen, so nothing is missed and nothing is reported twice.
 *
 * <p>Thread-safe: all state is guarded by the watch itself, listener calls included, so no call
 * reaches the listener once {@link #close} returned.
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
  private int generation;
  private @Nullable CompletableFuture<?> stream;
  private @Nullable ScheduledFuture<?> silenceTimer;

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

  synchronized void open() {
    if (closed) {
      return;
    }
    dropStream();
    int mine = ++generation;
    restartSilenceTimer(mine);
    stream =
        http.stream(
            PlatformCallKind.WATCH, EtcdJson.watch(prefix, nextRevision), new LineSubscriber(mine));
    stream.whenComplete((response, failure) -> onBroken(mine));
  }

  @Override
  public void close() {
    synchronized (this) {
      closed = true;
      dropStream();
    }
    onClosed.accept(this);
  }

  private synchronized void onBroken(int ended) {
    if (closed || ended != generation) {
      return;
    }
    http.rotate();
    schedule(options.watchRetryDelay(), () -> reopen(ended));
  }

  private synchronized void reopen(int ended) {
    if (ended == generation) {
      open();
    }
  }

  private synchronized void onLine(int from, String line) {
    if (closed || from != generation || line.isBlank()) {
      return;
    }
    restartSilenceTimer(from);
    try {
      JsonObject message = JsonParser.parseString(line).getAsJsonObject();
      JsonObject result = message.getAsJsonObject("result");
      if (result == null) {
        onBroken(from);
        return;
      }
      onResult(result);
    } catch (JsonParseException | IllegalStateException | IllegalArgumentException e) {
      onBroken(from);
    }
  }

  private void onResult(JsonObject result) {
    if (EtcdJson.flag(result, "canceled")) {
      closed = true;
      dropStream();
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

  private void dropStream() {
    generation++;
    if (silenceTimer != null) {
      silenceTimer.cancel(false);
    }
    if (stream != null) {
      stream.cancel(true);
      stream = null;
    }
  }

  private void restartSilenceTimer(int current) {
    if (silenceTimer != null) {
      silenceTimer.cancel(false);
    }
    silenceTimer = schedule(options.watchSilence(), () -> reopen(current));
  }

  private @Nullable ScheduledFuture<?> schedule(Duration delay, Runnable work) {
    try {
      return timer.schedule(work, delay.toMillis(), TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      return null;
    }
  }

  private final class LineSubscriber implements Flow.Subscriber<String> {

    private final int mine;

    LineSubscriber(int mine) {
      this.mine = mine;
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
      subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
      onLine(mine, line);
    }

    @Override
    public void onError(Throwable failure) {
      onBroken(mine);
    }

    @Override
    public void onComplete() {
      onBroken(mine);
    }
  }
}

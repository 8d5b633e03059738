package org.chicorylane.bench.load;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;

/**
 * Browsers that come at a fixed rate, whether or not earlier ones were answered.
 *
 * <p>Requests above {@link #MAX_OUTSTANDING} unanswered ones are not sent but counted, so that the
 * rate that was really offered is known. Thread-safe; runs one burst at a time.
 */
final class BrowsingBurst {
  private static final int MAX_OUTSTANDING = 3_000;
  private static final Duration DEADLINE = Duration.ofMillis(250);
  private static final Duration ANSWER_LIMIT = Duration.ofSeconds(10);
  private static final Duration STEP = Duration.ofMillis(5);
  private static final int HTTP_OK = 200;
  private static final String BODY =
      "{\"statements\":[{\"sql\":\"SELECT version FROM plan WHERE id = 1\",\"parameters\":[]}],"
          + "\"requestClass\":\"browse\",\"readClass\":\"browse\"}";

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<URI> entries;
  private final double perSecond;
  private final Semaphore outstanding = new Semaphore(MAX_OUTSTANDING);
  private final LongAdder sent = new LongAdder();
  private final LongAdder skipped = new LongAdder();
  private final LongAdder completed = new LongAdder();
  private final LongAdder refused = new LongAdder();
  private final LongAdder broken = new LongAdder();

  /** What became of all browsing requests. */
  record Counts(long sent, long skipped, long completed, long refused, long broken) {}

  BrowsingBurst(List<URI> entries, double perSecond) {
    this.entries = List.copyOf(entries);
    this.perSecond = perSecond;
  }

  /** Sends for {@code length} and then waits for the answers. */
  void run(Duration length) {
    long start = System.nanoTime();
    long due = 0;
    try {
      while (System.nanoTime() - start < length.toNanos()) {
        long target = (long) ((System.nanoTime() - start) / 1e9 * perSecond);
        for (; due < target; due++) {
          send((int) (due % entries.size()));
        }
        TimeUnit.NANOSECONDS.sleep(STEP.toNanos());
      }
      if (outstanding.tryAcquire(MAX_OUTSTANDING, ANSWER_LIMIT.toMillis(), TimeUnit.MILLISECONDS)) {
        outstanding.release(MAX_OUTSTANDING);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  Counts counts() {
    return new Counts(sent.sum(), skipped.sum(), completed.sum(), refused.sum(), broken.sum());
  }

  private void send(int entry) {
    if (!outstanding.tryAcquire()) {
      skipped.increment();
      return;
    }
    sent.increment();
    HttpRequest request =
        HttpRequest.newBuilder(
                entries.get(entry).resolve("/v1/groups/" + BenchFleet.GROUP + "/read"))
            .timeout(ANSWER_LIMIT)
            .header("Content-Type", "application/json")
            .header("Chicorylane-Deadline-Millis", String.valueOf(DEADLINE.toMillis()))
            .POST(HttpRequest.BodyPublishers.ofString(BODY))
            .build();
    http.sendAsync(request, HttpResponse.BodyHandlers.discarding())
        .whenComplete((response, error) -> answered(response));
  }

  private void answered(@Nullable HttpResponse<Void> response) {
    outstanding.release();
    if (response == null) {
      broken.increment();
    } else if (response.statusCode() == HTTP_OK) {
      completed.increment();
    } else {
      refused.increment();
    }
  }
}

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
 * Open-loop load generator that sends browsing requests at a fixed rate, whether or not earlier
 * ones were answered.
 *
 * <p>While {@link #MAX_OUTSTANDING} requests are unanswered, further ones are counted as skipped
 * instead of sent, so that the rate that was actually offered is known. Thread-safe; runs one burst
 * at a time.
 */
final class BrowsingBurst {
  private static final int MAX_OUTSTANDING = 3_000;
  private static final Duration DEADLINE = Duration.ofMillis(250);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration SEND_INTERVAL = Duration.ofMillis(5);
  private static final int HTTP_OK = 200;
  private static final String BODY =
      "{\"statements\":[{\"sql\":\"SELECT version FROM plan WHERE id = 1\",\"parameters\":[]}],"
          + "\"requestClass\":\"browse\",\"readClass\":\"browse\"}";

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<URI> entries;
  private final double requestsPerSecond;
  private final Semaphore outstanding = new Semaphore(MAX_OUTSTANDING);
  private final LongAdder sent = new LongAdder();
  private final LongAdder skipped = new LongAdder();
  private final LongAdder completed = new LongAdder();
  private final LongAdder refused = new LongAdder();
  private final LongAdder broken = new LongAdder();

  /** The outcomes of all browsing requests so far. */
  record Counts(long sent, long skipped, long completed, long refused, long broken) {}

  BrowsingBurst(List<URI> entries, double requestsPerSecond) {
    this.entries = List.copyOf(entries);
    this.requestsPerSecond = requestsPerSecond;
  }

  /** Sends requests for {@code length} and then waits up to the timeout for their answers. */
  void run(Duration length) {
    long start = System.nanoTime();
    long due = 0;
    try {
      while (System.nanoTime() - start < length.toNanos()) {
        long target = (long) ((System.nanoTime() - start) / 1e9 * requestsPerSecond);
        for (; due < target; due++) {
          send((int) (due % entries.size()));
        }
        TimeUnit.NANOSECONDS.sleep(SEND_INTERVAL.toNanos());
      }
      if (outstanding.tryAcquire(
          MAX_OUTSTANDING, ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
        outstanding.release(MAX_OUTSTANDING);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  Counts counts() {
    return new Counts(sent.sum(), skipped.sum(), completed.sum(), refused.sum(), broken.sum());
  }

  private void send(int entryIndex) {
    if (!outstanding.tryAcquire()) {
      skipped.increment();
      return;
    }
    sent.increment();
    HttpRequest request =
        HttpRequest.newBuilder(
                entries.get(entryIndex).resolve("/v1/groups/" + BenchFleet.GROUP + "/read"))
            .timeout(ANSWER_TIMEOUT)
            .header("Content-Type", "application/json")
            .header("Chicorylane-Deadline-Millis", String.valueOf(DEADLINE.toMillis()))
            .POST(HttpRequest.BodyPublishers.ofString(BODY))
            .build();
    http.sendAsync(request, HttpResponse.BodyHandlers.discarding())
        .whenComplete((response, error) -> countAnswer(response));
  }

  private void countAnswer(@Nullable HttpResponse<Void> response) {
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

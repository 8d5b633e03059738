package org.chicorylane.bench.demo;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A simulated client session that inserts check-ins and billing changes, updates its own plan, and
 * reads that plan, through a random entry for each request.
 *
 * <p>The session remembers the last acknowledged version of its plan. A read that shows an older
 * one violates the read-your-writes guarantee and is recorded as stale, and so is a read that shows
 * a version that the session has not attempted to write. Writes that were not run or whose outcome
 * is unknown are retried with the same idempotency key.
 */
final class SessionLoop implements Runnable {
  static final String RENEW = "UPDATE plan SET version = $1 WHERE id = $2 AND version < $3";
  private static final String LOOK_UP =
      "SELECT version, CAST($1 AS varchar(80)) FROM plan WHERE id = $2";

  private static final int MAX_TRIES = 40;
  private static final Duration MIN_PAUSE = Duration.ofMillis(20);

  private final String group;
  private final int plan;
  private final CallerClient caller;
  private final AnswerRecorder recorder;
  private final Random random;
  private final Duration pause;
  private final AtomicBoolean stop;
  private final WriteListener listener;
  private long acknowledgedVersion;
  private long attemptedVersion;
  private int writes;

  /** Receives a call for each acknowledged write. */
  @FunctionalInterface
  interface WriteListener {
    void onAcknowledged(String group, long sentNanos, long answeredNanos);
  }

  SessionLoop(
      String group,
      int plan,
      CallerClient caller,
      AnswerRecorder recorder,
      long seed,
      Duration pause,
      AtomicBoolean stop,
      WriteListener listener) {
    this.group = group;
    this.plan = plan;
    this.caller = caller;
    this.recorder = recorder;
    this.random = new Random(seed);
    this.pause = pause;
    this.stop = stop;
    this.listener = listener;
  }

  @Override
  public void run() {
    while (!stop.get()) {
      int percent = random.nextInt(100);
      if (percent < 70) {
        lookUp();
      } else if (percent < 85) {
        insert("check-in", SessionSchema.CHECK_IN, false);
      } else if (percent < 93) {
        insert("billing", SessionSchema.BILLING, true);
      } else {
        renew();
      }
      sleep(pause);
    }
  }

  private void lookUp() {
    String nonce = plan + "-" + random.nextLong();
    Reply reply = caller.read(group, "lookup", "lookup", LOOK_UP, List.of(nonce, plan));
    recorder.recordAnswer(reply);
    if (reply.outcome() != Reply.Outcome.COMPLETED) {
      return;
    }
    recorder.recordRead(reply);
    List<String> row = reply.rows().isEmpty() ? List.of("-1", "") : reply.rows().get(0);
    long version = Long.parseLong(row.get(0));
    if (!row.get(1).equals(nonce)) {
      recorder.recordMixed("asked " + nonce + ", got " + row.get(1));
    }
    if (version < acknowledgedVersion || version > attemptedVersion) {
      recorder.recordStale(
          "plan "
              + plan
              + " of "
              + group
              + ": version "
              + version
              + ", expected "
              + acknowledgedVersion);
    }
  }

  private void insert(String requestClass, String sql, boolean withAmount) {
    String id = group + "-" + plan + "-" + writes++;
    List<Object> parameters = withAmount ? List.of(id, plan, 100) : List.of(id, plan);
    if (write(requestClass, sql, parameters, id)) {
      recorder.recordAcknowledged(group, id);
    }
  }

  private void renew() {
    String id = group + "-renew-" + plan + "-" + writes++;
    long version = ++attemptedVersion;
    if (write("billing", RENEW, List.of(version, plan, version), id)) {
      acknowledgedVersion = version;
    }
  }

  /**
   * Sends a write until it is acknowledged or rejected, the retries are used up, or it is not run
   * after the end of the demo. Returns whether it was acknowledged.
   */
  private boolean write(String requestClass, String sql, List<Object> parameters, String id) {
    boolean mayHaveRun = false;
    for (int i = 0; i < MAX_TRIES && !Thread.currentThread().isInterrupted(); i++) {
      long sent = System.nanoTime();
      Reply reply = caller.write(group, requestClass, sql, parameters, id);
      recorder.recordAnswer(reply);
      switch (reply.outcome()) {
        case COMPLETED -> {
          listener.onAcknowledged(group, sent, System.nanoTime());
          return true;
        }
        case REJECTED -> {
          return false;
        }
        case NOT_RUN -> {
          if (stop.get()) {
            return giveUp(id, mayHaveRun);
          }
        }
        default -> mayHaveRun = true;
      }
      sleep(reply.retryAfter().compareTo(MIN_PAUSE) > 0 ? reply.retryAfter() : MIN_PAUSE);
    }
    return giveUp(id, mayHaveRun);
  }

  /** Records that the write is not retried any more; returns false, for no acknowledgement. */
  private boolean giveUp(String id, boolean mayHaveRun) {
    if (mayHaveRun) {
      recorder.recordUnresolved();
    } else {
      recorder.recordNotRun(group, id);
    }
    return false;
  }

  private static void sleep(Duration duration) {
    try {
      TimeUnit.NANOSECONDS.sleep(duration.toNanos());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

package org.chicorylane.bench.demo;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One session of the wash company: checks in, changes its plan, and looks its plan up, through
 * whatever entry comes.
 *
 * <p>It knows the version of its own plan that it was last acknowledged, so a lookup that shows an
 * older one is stale. Writes without a clear answer are asked again with the same key.
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
  private final Told told;
  private final Random random;
  private final Duration pause;
  private final AtomicBoolean stop;
  private final WriteListener listener;
  private long acknowledgedVersion;
  private long attemptedVersion;
  private int writes;

  /** Hears of acknowledged writes as they come. */
  @FunctionalInterface
  interface WriteListener {
    void onAcknowledged(String group, long sentNanos, long answeredNanos);
  }

  SessionLoop(
      String group,
      int plan,
      CallerClient caller,
      Told told,
      long seed,
      Duration pause,
      AtomicBoolean stop,
      WriteListener listener) {
    this.group = group;
    this.plan = plan;
    this.caller = caller;
    this.told = told;
    this.random = new Random(seed);
    this.pause = pause;
    this.stop = stop;
    this.listener = listener;
  }

  @Override
  public void run() {
    while (!stop.get()) {
      int die = random.nextInt(100);
      if (die < 70) {
        lookUp();
      } else if (die < 85) {
        insert("check-in", SessionSchema.CHECK_IN, false);
      } else if (die < 93) {
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
    told.answered(reply);
    if (reply.fate() != Reply.Fate.COMPLETED) {
      return;
    }
    told.read(reply);
    List<String> row = reply.rows().isEmpty() ? List.of("-1", "") : reply.rows().get(0);
    long version = Long.parseLong(row.get(0));
    if (!row.get(1).equals(nonce)) {
      told.mixed("asked " + nonce + ", got " + row.get(1));
    }
    if (version < acknowledgedVersion || version > attemptedVersion) {
      told.stale(
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
      told.landed(group, id);
    }
  }

  private void renew() {
    String id = group + "-renew-" + plan + "-" + writes++;
    long version = ++attemptedVersion;
    if (write("billing", RENEW, List.of(version, plan, version), id)) {
      acknowledgedVersion = version;
    }
  }

  /** Returns whether the write was acknowledged; asks again while that cannot be told. */
  private boolean write(String requestClass, String sql, List<Object> parameters, String id) {
    boolean mayHaveRun = false;
    for (int i = 0; i < MAX_TRIES && !Thread.currentThread().isInterrupted(); i++) {
      long sent = System.nanoTime();
      Reply reply = caller.write(group, requestClass, sql, parameters, id);
      told.answered(reply);
      switch (reply.fate()) {
        case COMPLETED -> {
          listener.onAcknowledged(group, sent, System.nanoTime());
          return true;
        }
        case REJECTED -> {
          return false;
        }
        case NOT_RUN -> {
          if (stop.get()) {
            return gaveUp(id, mayHaveRun);
          }
        }
        default -> mayHaveRun = true;
      }
      sleep(reply.retryAfter().compareTo(MIN_PAUSE) > 0 ? reply.retryAfter() : MIN_PAUSE);
    }
    return gaveUp(id, mayHaveRun);
  }

  private boolean gaveUp(String id, boolean mayHaveRun) {
    if (mayHaveRun) {
      told.unresolved();
    } else {
      told.refused(group, id);
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

package org.chicorylane.internal.runtime;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * Writes decisions as JSON lines to a stream from a thread of its own, within a budget of lines a
 * second. What does not fit the budget or the buffer is counted; the count leads the next line that
 * fits.
 *
 * <p>{@link #event} is confined to one thread.
 */
public final class JsonLineLog implements DecisionLog {

  /** Characters of lines that wait for a slow reader. */
  private static final int BUFFERED_CHARACTERS = 1 << 20;

  /** Time in which lines are collected, so that they leave together. */
  private static final Duration COLLECTION_TIME = Duration.ofMillis(100);

  /** Budgets that changes of belief may use; a fault of all groups at once stays within it. */
  private static final int BELIEF_FACTOR = 4;

  /** How long the end of the program waits for a slow reader. */
  private static final long DRAIN_MILLIS = 500;

  private static final long SECOND_NANOS = 1_000_000_000L;

  private final Scheduler scheduler;
  private final OutputStream out;
  private final String instance;
  private final int linesPerSecond;
  private final LinkedBlockingQueue<Batch> batches = new LinkedBlockingQueue<>();
  private final AtomicInteger buffered = new AtomicInteger();
  private StringBuilder collected = new StringBuilder();
  private long secondStart;
  private int linesThisSecond;
  private long omitted;
  private long textSecond = Long.MIN_VALUE;
  private String secondText = "";

  /**
   * Creates a log and starts its thread.
   *
   * @param instance the instance's name, which is part of each line
   * @param linesPerSecond the budget; a quarter is kept for failures, and changes of belief may
   *     exceed it {@value #BELIEF_FACTOR} times
   */
  public JsonLineLog(Scheduler scheduler, OutputStream out, String instance, int linesPerSecond) {
    this.scheduler = scheduler;
    this.out = out;
    this.instance = instance;
    this.linesPerSecond = linesPerSecond;
    Thread writer = new Thread(this::writeAll, "decision-log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public Line event(Priority priority, String event) {
    long now = scheduler.nanoTime();
    if (now - secondStart >= SECOND_NANOS) {
      secondStart = now;
      linesThisSecond = 0;
    }
    int limit =
        switch (priority) {
          case SUCCESS -> linesPerSecond * 3 / 4;
          case FAILURE -> linesPerSecond;
          case BELIEF -> linesPerSecond * BELIEF_FACTOR;
        };
    if (linesThisSecond >= limit || buffered.get() + collected.length() > BUFFERED_CHARACTERS) {
      omitted++;
      return NoLine.INSTANCE;
    }
    linesThisSecond++;
    return new TextLine(event, now);
  }

  /** Waits until what was logged is written, for the end of the program; not for long. */
  public void drain() {
    Batch last = handOver();
    try {
      if (!last.written().await(DRAIN_MILLIS, TimeUnit.MILLISECONDS)) {
        // The reader is too slow: what is left ends with the process.
        return;
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void collect(String line) {
    if (collected.length() == 0) {
      scheduler.schedule(COLLECTION_TIME, this::handOver);
    }
    collected.append(line);
  }

  private Batch handOver() {
    Batch batch = new Batch(collected.toString(), new CountDownLatch(1));
    collected = new StringBuilder();
    buffered.addAndGet(batch.text().length());
    batches.add(batch);
    return batch;
  }

  private void writeAll() {
    try {
      while (true) {
        Batch batch = batches.take();
        out.write(batch.text().getBytes(StandardCharsets.UTF_8));
        out.flush();
        buffered.addAndGet(-batch.text().length());
        batch.written().countDown();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // Nobody reads the log any more; there is no other place to say so.
      return;
    }
  }

  /** Lines that are written together. */
  private record Batch(String text, CountDownLatch written) {}

  private final class TextLine implements Line {
    private final StringBuilder text = new StringBuilder(160);

    TextLine(String event, long now) {
      text.append("{\"time\":\"");
      appendTime(System.currentTimeMillis());
      text.append("\",\"mono_ms\":");
      text.append(now / 1_000_000).append(",\"instance\":\"").append(instance);
      text.append("\",\"event\":\"").append(event).append('"');
      if (omitted > 0) {
        text.append(",\"omitted\":").append(omitted);
        omitted = 0;
      }
    }

    private void appendTime(long epochMillis) {
      long second = Math.floorDiv(epochMillis, 1_000);
      if (second != textSecond) {
        textSecond = second;
        String whole = Instant.ofEpochSecond(second).toString();
        secondText = whole.substring(0, whole.length() - 1);
      }
      int millis = (int) Math.floorMod(epochMillis, 1_000L);
      text.append(secondText).append('.');
      text.append((char) ('0' + millis / 100));
      text.append((char) ('0' + millis / 10 % 10));
      text.append((char) ('0' + millis % 10)).append('Z');
    }

    @Override
    public Line with(String name, @Nullable Object value) {
      if (value == null) {
        return this;
      }
      text.append(",\"").append(name).append("\":\"");
      appendEscaped(value.toString());
      text.append('"');
      return this;
    }

    @Override
    public Line with(String name, long value) {
      text.append(",\"").append(name).append("\":").append(value);
      return this;
    }

    private void appendEscaped(String value) {
      for (int i = 0; i < value.length(); i++) {
        char c = value.charAt(i);
        if (c == '"' || c == '\\') {
          text.append('\\').append(c);
        } else if (c < ' ' || c == 127) {
          text.append(String.format("\\u%04x", (int) c));
        } else {
          text.append(c);
        }
      }
    }

    @Override
    public void write() {
      collect(text.append("}\n").toString());
    }
  }
}

package org.chicorylane.internal.runtime;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * A decision log that writes JSON lines to a stream from a background thread, limited to a budget
 * of lines per second. Lines that exceed the budget or the buffer are omitted and counted; the next
 * written line holds the count in its field {@code omitted}.
 *
 * <p>{@link #event} is confined to one thread.
 */
public final class JsonLineLog implements DecisionLog {

  /** Maximum number of characters that are buffered for a slow reader. */
  private static final int MAXIMUM_BUFFERED_CHARACTERS = 1 << 20;

  /** How long lines are collected to be written as one batch. */
  private static final Duration COLLECTION_TIME = Duration.ofMillis(100);

  /**
   * How many times the budget {@link Priority#BELIEF} lines may use, so that a fault of all groups
   * at once is logged completely.
   */
  private static final int BELIEF_BUDGET_FACTOR = 4;

  /** How long {@link #drain} waits for a slow reader. */
  private static final long DRAIN_MILLIS = 500;

  private static final long SECOND_NANOS = 1_000_000_000L;

  private final Scheduler scheduler;
  private final OutputStream out;
  private final String instance;
  private final int linesPerSecond;
  private final LinkedBlockingQueue<Batch> batches = new LinkedBlockingQueue<>();
  private final AtomicInteger buffered = new AtomicInteger();
  private StringBuilder collected = new StringBuilder();
  private long budgetSecondStartNanos;
  private int linesThisSecond;
  private long omitted;
  private long formattedSecond = Long.MIN_VALUE;
  private String formattedSecondText = "";

  /**
   * Creates a log and starts its thread.
   *
   * @param instance the instance's name, a field of each line
   * @param linesPerSecond the budget; a quarter of it is reserved for failures, and {@link
   *     Priority#BELIEF} lines may use {@value #BELIEF_BUDGET_FACTOR} times the budget
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
    if (now - budgetSecondStartNanos >= SECOND_NANOS) {
      budgetSecondStartNanos = now;
      linesThisSecond = 0;
    }
    int limit =
        switch (priority) {
          case SUCCESS -> linesPerSecond * 3 / 4;
          case FAILURE -> linesPerSecond;
          case BELIEF -> linesPerSecond * BELIEF_BUDGET_FACTOR;
        };
    if (linesThisSecond >= limit
        || buffered.get() + collected.length() > MAXIMUM_BUFFERED_CHARACTERS) {
      omitted++;
      return DiscardedLine.INSTANCE;
    }
    linesThisSecond++;
    return new TextLine(event, now);
  }

  /**
   * Waits until all collected lines are written, or for {@value #DRAIN_MILLIS} ms. Called before
   * the process exits.
   */
  public void drain() {
    Batch last = handOver();
    try {
      if (!last.written().await(DRAIN_MILLIS, TimeUnit.MILLISECONDS)) {
        // The reader is too slow: the unwritten lines are lost when the process exits.
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
      // The stream has no reader any more; there is no other place to report this.
      return;
    }
  }

  /**
   * Returns the time of day in UTC, to the second. Avoids the formatter classes of {@code
   * java.time}, because loading them delays the start of a process.
   */
  static String formatSecond(long epochSecond) {
    String text = LocalDateTime.ofEpochSecond(epochSecond, 0, ZoneOffset.UTC).toString();
    boolean isFullMinute = Math.floorMod(epochSecond, 60) == 0;
    return isFullMinute ? text + ":00" : text;
  }

  /** Lines that are written together, and a latch that opens once they are written. */
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
      if (second != formattedSecond) {
        formattedSecond = second;
        formattedSecondText = formatSecond(second);
      }
      int millis = (int) Math.floorMod(epochMillis, 1_000L);
      text.append(formattedSecondText).append('.');
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

package org.chicorylane.internal.runtime;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.jspecify.annotations.Nullable;

/**
 * Writes decisions as JSON lines to a stream from a thread of its own, within a budget of lines a
 * second. What does not fit the budget or the buffer is counted; the count leads the next line that
 * fits.
 *
 * <p>{@link #event} is confined to one thread.
 */
public final class JsonLineLog implements DecisionLog {

  /** Lines that wait for a slow reader; about 1 MB at the usual length. */
  private static final int BUFFERED_LINES = 4_096;

  /** Pause between two writes, so that lines leave together. */
  private static final long FLUSH_PAUSE_MILLIS = 100;

  private static final long SECOND_NANOS = 1_000_000_000L;

  private final Scheduler scheduler;
  private final OutputStream out;
  private final String instance;
  private final int linesPerSecond;
  private final BlockingQueue<String> buffer = new ArrayBlockingQueue<>(BUFFERED_LINES);
  private long secondStart;
  private int linesThisSecond;
  private long omitted;

  /**
   * Creates a log and starts its thread.
   *
   * @param instance the instance's name, which is part of each line
   * @param linesPerSecond the budget; a quarter is kept for failures, and beliefs are not limited
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
  public Line event(Weight weight, String event) {
    long now = scheduler.nanoTime();
    if (now - secondStart >= SECOND_NANOS) {
      secondStart = now;
      linesThisSecond = 0;
    }
    int limit =
        switch (weight) {
          case SUCCESS -> linesPerSecond * 3 / 4;
          case FAILURE -> linesPerSecond;
          case BELIEF -> Integer.MAX_VALUE;
        };
    if (linesThisSecond >= limit || buffer.remainingCapacity() == 0) {
      omitted++;
      return NoLine.INSTANCE;
    }
    linesThisSecond++;
    return new TextLine(event, now);
  }

  /** Waits a short while until what was logged is written; for the end of the program. */
  public void drain() {
    for (int i = 0; i < 5 && !buffer.isEmpty(); i++) {
      pause();
    }
  }

  private void writeAll() {
    StringBuilder text = new StringBuilder();
    try {
      while (true) {
        text.append(buffer.take());
        for (String line = buffer.poll(); line != null; line = buffer.poll()) {
          text.append(line);
        }
        out.write(text.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
        text.setLength(0);
        pause();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // Nobody reads the log any more; there is no other place to say so.
      return;
    }
  }

  private static void pause() {
    try {
      Thread.sleep(FLUSH_PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private final class TextLine implements Line {
    private final StringBuilder text = new StringBuilder(160);

    TextLine(String event, long now) {
      text.append("{\"time\":\"").append(Instant.now()).append("\",\"mono_ms\":");
      text.append(now / 1_000_000).append(",\"instance\":\"").append(instance);
      text.append("\",\"event\":\"").append(event).append('"');
      if (omitted > 0) {
        text.append(",\"omitted\":").append(omitted);
        omitted = 0;
      }
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
      if (!buffer.offer(text.append("}\n").toString())) {
        omitted++;
      }
    }
  }
}
